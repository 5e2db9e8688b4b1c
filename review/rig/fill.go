//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills a settings template in, as far as the project's templates use its rules: values, and sections for values
// that are present and true.
func fill(text string, fields map[string]any) (string, error) {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		v := lookup(fields, m[1])
		if v == nil || v == false {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", format(v))
	})
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string {
		return format(lookup(fields, placeholder.FindStringSubmatch(s)[1]))
	})
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("template not filled in: %s", text)
	}
	return text, nil
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}

func format(v any) string {
	switch t := v.(type) {
	case nil:
		return ""
	case string:
		return t
	case []any:
		var list []string
		for _, e := range t {
			list = append(list, format(e))
		}
		return strings.Join(list, ",")
	default:
		data, _ := json.Marshal(t) // Numbers and flags always encode.
		return string(data)
	}
}
