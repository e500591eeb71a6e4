package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

//go:embed names.txt
var namesText string

// boundsText is the part of the settings with the bounds of a small deployment.
//
//go:embed deployment.json
var boundsText []byte

var wireNames = decodeNames(namesText)

// decodeNames reads a name and its name on the wire from each line.
func decodeNames(text string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(text) {
		if own, onWire, ok := strings.Cut(strings.TrimSpace(line), " "); ok && !strings.HasPrefix(line, "#") {
			names[own] = onWire
		}
	}
	return names
}

// wire returns a name of the platform's.
func wire(name string) string {
	onWire, ok := wireNames[name]
	if !ok {
		panic("no name on the wire: " + name)
	}
	return onWire
}

// bounds returns the bounds of a small deployment.
func bounds() json.RawMessage { return boundsText }
