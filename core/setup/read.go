package setup

import (
	"encoding/json"
	"os"
	"strings"

	"pimentoseam/core/conf"
)

// Invalid reports a settings file with all of its faults, each with its path.
type Invalid struct {
	File   string
	Faults []string
}

// Error lists the faults, one a line.
func (e *Invalid) Error() string {
	return "invalid settings in " + e.File + ":\n" + strings.Join(e.Faults, "\n")
}

// settings is a pointer to the settings of one kind of process.
type settings interface {
	settings()
}

func (*Entry) settings() {}
func (*Agent) settings() {}

func read(path string, schema []byte, into settings) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Invalid{File: path, Faults: []string{err.Error()}}
	}
	if faults := conf.CheckSchema(schema, data); len(faults) > 0 {
		return &Invalid{File: path, Faults: faults}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &Invalid{File: path, Faults: []string{"/: " + err.Error()}}
	}
	return nil
}
