package roster

import (
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"

	"carobline.dev/core/field"
	"carobline.dev/core/id"
)

const (
	// maxNameBytes bounds the name of a host, a model or anything else that an
	// announcement names, and maxModels the models that it lists.
	maxNameBytes = 256
	maxModels    = 256
	// maxCalls bounds the slots of an endpoint and the calls that it counts. A larger
	// number would draw every call of a service to one host.
	maxCalls = 1 << 16
)

// Validate returns a *field.Error for the first field that no host can mean, or that
// couldn't be sent to other nodes as it is.
func (announcement *Announcement) Validate() error {
	address, err := netip.ParseAddrPort(announcement.Address)
	if err != nil || address.Port() == 0 {
		return &field.Error{Name: "address", Value: abbreviate(announcement.Address), Allowed: "an IP number and a port"}
	}
	if err := announcement.validateNames(); err != nil {
		return err
	}
	if announcement.ColdRemainingMS < 0 || announcement.ColdRemainingMS > MaxColdMS {
		return &field.Error{Name: "cold_left_ms", Value: announcement.ColdRemainingMS, Allowed: fmt.Sprintf("0 to %d", MaxColdMS)}
	}
	return announcement.Load.validate()
}

func (announcement *Announcement) validateNames() error {
	names := []struct{ field, name string }{
		{"host", string(announcement.Host)},
		{"data_centre", string(announcement.DataCentre)},
		{"domain", string(announcement.Domain)},
		{"service", string(announcement.Service)},
		{"serving.group", string(announcement.Serving.Group)},
		{"serving.model", string(announcement.Serving.Model)},
	}
	for _, name := range names {
		if err := validateName(name.field, name.name); err != nil {
			return err
		}
	}
	for _, models := range [][]id.Model{announcement.Models, announcement.Staged, announcement.Loaded} {
		if len(models) > maxModels {
			return &field.Error{Name: "models", Value: len(models), Allowed: fmt.Sprintf("%d at most", maxModels)}
		}
		for _, model := range models {
			if err := validateName("models", string(model)); err != nil {
				return err
			}
		}
	}
	return nil
}

// ValidateHost returns a *field.Error for a name that no host can have.
func ValidateHost(host id.Host) error { return validateName("host", string(host)) }

// validateName refuses a name that messages between nodes or headers of requests can't
// hold as it is. An empty name is valid: not every announcement has all of them.
func validateName(name, value string) error {
	for _, char := range value {
		if unicode.IsControl(char) {
			return &field.Error{Name: name, Value: abbreviate(value), Allowed: "no control characters"}
		}
	}
	if len(value) > maxNameBytes || !utf8.ValidString(value) {
		return &field.Error{Name: name, Value: abbreviate(value), Allowed: fmt.Sprintf("%d bytes of UTF-8 at most", maxNameBytes)}
	}
	return nil
}

// abbreviate returns the beginning of a value that may be very long.
func abbreviate(value string) string {
	const maxBytes = 64
	if len(value) <= maxBytes {
		return value
	}
	return value[:maxBytes] + "..."
}

func (load *Load) validate() error {
	counts := []struct {
		field string
		count int
	}{
		{"load.slots", load.Slots},
		{"load.running", load.Running},
		{"load.queued", load.Queued},
		{"load.urgent", load.HighestPriorityRequests},
	}
	for _, count := range counts {
		if count.count < 0 || count.count > maxCalls {
			return &field.Error{Name: count.field, Value: count.count, Allowed: fmt.Sprintf("0 to %d", maxCalls)}
		}
	}
	return nil
}
