package conf

import (
	"bytes"
	_ "embed"
	"fmt"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON Schema of the configuration document.
//
//go:embed schema.json
var Schema []byte

// Invalid reports all faults of a document, each with its JSON path.
type Invalid struct {
	Faults []string
}

// Error lists the faults, one per line.
func (e *Invalid) Error() string {
	return "invalid configuration:\n" + strings.Join(e.Faults, "\n")
}

// checker collects the faults of a document.
type checker struct {
	faults []string
	names  map[string]bool // The names seen in the list that is being checked.
}

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, path+": "+fmt.Sprintf(format, args...))
}

func (c *checker) checkUniqueName(path, name string) {
	if c.names[name] {
		c.addFault(path+"/name", "%q is used twice", name)
	}
	c.names[name] = true
}

func checkSchema(data []byte) []string {
	return CheckSchema(Schema, data)
}

// CheckSchema validates a JSON document against a JSON Schema and returns the sorted faults.
func CheckSchema(schema, data []byte) []string {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []string{"/: " + err.Error()}
	}
	definition, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return []string{"/: " + err.Error()}
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("schema.json", definition); err != nil {
		return []string{"/: " + err.Error()}
	}
	compiled, err := compiler.Compile("schema.json")
	if err != nil {
		return []string{"/: " + err.Error()}
	}
	invalid, ok := compiled.Validate(value).(*jsonschema.ValidationError)
	if !ok {
		return nil
	}
	faults := leafFaults(invalid)
	sort.Strings(faults)
	return faults
}

// leafFaults lists the innermost causes, which describe the actual faults.
func leafFaults(e *jsonschema.ValidationError) []string {
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		return []string{"/" + strings.Join(e.InstanceLocation, "/") + ": " + text}
	}
	var faults []string
	for _, cause := range e.Causes {
		faults = append(faults, leafFaults(cause)...)
	}
	return faults
}
