// Package status is carobline status.
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

// Options are what the command line says.
type Options struct {
	Client interface {
		Status(ctx context.Context) (controller.Overview, error)
	}
	Printer *printer.Printer
}

// New returns the options that arguments give.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline status")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	client, err := shared.Client()
	if err != nil {
		return nil, err
	}
	options.Client, options.Printer = client, printer.New(shared.Out, flags.JSON)
	return options, nil
}

// Command parses, then runs.
var Command = factory.Verb(New, Run)

// Run prints groups, hosts, entry hosts and customers.
func Run(ctx context.Context, options *Options) error {
	overview, err := options.Client.Status(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	rows = append(rows, nodes(overview)...)
	rows = append(rows, groups(overview)...)
	rows = append(rows, hosts(overview)...)
	for _, record := range overview.Contracts {
		if !record.Retired {
			rows = append(rows, []string{"customer", string(record.Contract.ClientAccount), "in force", fmt.Sprintf("revision %d, share %d", record.Revision, record.Contract.Share)})
		}
	}
	return options.Printer.Show(overview, []string{"KIND", "NAME", "STATE", "DETAIL"}, rows)
}

func nodes(overview controller.Overview) [][]string {
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

func groups(overview controller.Overview) [][]string {
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

func hosts(overview controller.Overview) [][]string {
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
