// Package field holds the error for a field of a file or a message whose value
// isn't allowed.
//
// # Usage
//
//	return &field.Error{Name: "share", Value: 0, Allowed: "1 to 1000"}
package field

import "encoding/json"

// Error names the invalid field, its value and what is allowed.
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
