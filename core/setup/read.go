package setup

import (
	"encoding/json"
	"os"
	"strings"

	"pimentoseam/core/conf"
)

// Invalid reports all faults of a settings file, each with its JSON path.
type Invalid struct {
	File   string
	Faults []string
}

// Error lists the faults, one per line.
func (e *Invalid) Error() string {
	return "invalid settings in " + e.File + ":\n" + strings.Join(e.Faults, "\n")
}

// settings is implemented by pointers to the settings of each kind of process.
type settings interface {
	settings()
}

func (*Entry) settings() {}
func (*Agent) settings() {}

// read validates a file against a schema and decodes it.
func read(path string, schema []byte, dest settings) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Invalid{File: path, Faults: []string{err.Error()}}
	}
	if faults := conf.CheckSchema(schema, data); len(faults) > 0 {
		return &Invalid{File: path, Faults: faults}
	}
	if err := json.Unmarshal(data, dest); err != nil {
		return &Invalid{File: path, Faults: []string{"/: " + err.Error()}}
	}
	return nil
}
