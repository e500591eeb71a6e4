package lab

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// namesText lists the platform's names, and settingsText is the text of a settings file, with verbs
// for what differs. They aren't Go code, in which only the adapter uses these names.
var (
	//go:embed names.txt
	namesText string
	//go:embed settings.txt
	settingsText string
)

var names = readNames(namesText)

func readNames(text string) map[string]string {
	read := map[string]string{}
	for line := range strings.Lines(text) {
		if own, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok && own != "#" {
			read[own] = name
		}
	}
	return read
}

// Name returns the platform's name for a header, a field or a path.
func Name(own string) string {
	name, ok := names[own]
	if !ok {
		panic("no name for " + own)
	}
	return name
}

// encode returns a value as JSON. A field whose name begins with @ gets the platform's name.
func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	var pairs []string
	for own, name := range names {
		pairs = append(pairs, `"@`+own+`":`, `"`+name+`":`)
	}
	return []byte(strings.NewReplacer(pairs...).Replace(string(data))), nil
}
