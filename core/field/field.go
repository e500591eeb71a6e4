// Package field reports a field of a file or a message that can't be taken.
//
// # Usage
//
//	return &field.Error{Name: "share", Value: 0, Allowed: "1 to 1000"}
package field

import "encoding/json"

// Error names the field at fault, its value and what is allowed.
type Error struct {
	Name    string
	Value   any
	Allowed string
}

// Error implements error.
func (fieldError *Error) Error() string {
	value, err := json.Marshal(fieldError.Value)
	if err != nil {
		value = []byte("unprintable")
	}
	return "field " + fieldError.Name + ": " + string(value) + " is not allowed, want " + fieldError.Allowed
}
