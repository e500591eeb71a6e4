// Package status implements carobline status, which shows the state of the
// whole system.
//
// # Usage
//
//	err := status.Command(ctx, shared, nil)
package status

import (
	"context"
	"fmt"
	"strings"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Client interface {
		Status(ctx context.Context) (controller.Overview, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	client, printer, err := shared.Flags("carobline status").Open(arguments)
	return &Options{Client: client, Printer: printer}, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run prints nodes, groups, hosts and client accounts.
func Run(ctx context.Context, options *Options) error {
	overview, err := options.Client.Status(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	rows = append(rows, nodeRows(overview)...)
	rows = append(rows, groupRows(overview)...)
	rows = append(rows, hostRows(overview)...)
	for _, dataCentre := range overview.Evacuations.DataCentres {
		rows = append(rows, []string{"data centre", string(dataCentre), "evacuated", "no new calls"})
	}
	for _, record := range overview.Contracts {
		if !record.Retired {
			rows = append(rows, []string{"customer", string(record.Contract.ClientAccount), "in force", fmt.Sprintf("revision %d, share %d", record.Revision, record.Contract.Share)})
		}
	}
	return options.Printer.Show(overview, []string{"KIND", "NAME", "STATE", "DETAIL"}, rows)
}

func nodeRows(overview controller.Overview) [][]string {
	var rows [][]string
	for _, node := range overview.Nodes {
		state := "live"
		switch {
		case !node.Live:
			state = "away"
		case node.Drained:
			state = "drained"
		case node.Node == overview.Leader:
			state = "live, leads"
		}
		rows = append(rows, []string{"node", string(node.Node), state, fmt.Sprintf("version %d of %d, %d calls", node.Version, overview.Version, node.Calls)})
	}
	return rows
}

func groupRows(overview controller.Overview) [][]string {
	var rows [][]string
	for _, group := range overview.Groups {
		state := string(group.Phase)
		switch {
		case len(group.Missing) > 0:
			state = "broken, misses " + join(group.Missing)
		case !group.Ready:
			state += ", loading"
		}
		rows = append(rows, []string{"group", string(group.Group), state, fmt.Sprintf("%s on %s, fencing %d", group.Model, join(group.Hosts), group.Fencing)})
	}
	return rows
}

func hostRows(overview controller.Overview) [][]string {
	var rows [][]string
	for _, host := range overview.Hosts {
		state := "live"
		switch {
		case host.Live:
		case host.Announcement.Leaving:
			state = "leaving"
		default:
			state = "away"
		}
		use := "free"
		switch {
		case host.Announcement.Service != "":
			use = "service " + string(host.Announcement.Service)
		case host.Group != "":
			use = "in " + string(host.Group)
		case host.Unfreed:
			use = "being freed"
		}
		rows = append(rows, []string{"host", string(host.Announcement.Host), state, fmt.Sprintf("%s, %s/%s", use, host.Announcement.DataCentre, host.Announcement.Domain)})
	}
	return rows
}

func join(names []id.Host) string {
	texts := make([]string, len(names))
	for index, name := range names {
		texts[index] = string(name)
	}
	return strings.Join(texts, "+")
}
