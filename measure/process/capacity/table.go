package capacity

import (
	"fmt"
	"strings"
)

// Size is the size of a system.
type Size struct {
	Name    string
	Nodes   float64
	Hosts   float64
	Changes float64 // a day
	Calls   float64 // with an idempotency key, whose answers are kept
}

// The budgets are what the users allow one entry node for the control plane.
const (
	budgetBytes = 14_000.0 // bytes a second
	budgetCores = 0.041    // of a core
	budgetHeap  = 32e6     // bytes
	daySeconds  = 86_400.0
	// subsetGroups is how many endpoints a node considers at most in the design; only
	// the first host of each reports load.
	subsetGroups = 48.0
	dataCentres  = 17.0
	// unchangedRefreshSeconds is the interval at which a relay confirms what hasn't
	// changed, in the design.
	unchangedRefreshSeconds = 1.0
)

// Today and Target are the two sizes for which the page works figures out.
var (
	Today  = Size{"today", 9, 63, 200, 2000}
	Target = Size{"target", 520, 12_000, 20_000, 20_000}
)

// Table returns the page's tables in Markdown: the slopes, and the cost of each role
// at both sizes, with the formula in each row.
func Table(slopes []Slope) string {
	slopeByFigure := map[string]Slope{}
	for _, slope := range slopes {
		slopeByFigure[slope.Figure] = slope
	}
	var page strings.Builder
	writeSlopeTable(&page, slopes)
	page.WriteString("\n### What each role spends\n\n")
	page.WriteString("| size, role | figure | sum | value | budget | left |\n|---|---|---|---|---|---|\n")
	for _, size := range []Size{Today, Target} {
		writeNodeRows(&page, slopeByFigure, size)
		writeLeaderRows(&page, slopeByFigure, size)
		writeVoterRows(&page, slopeByFigure, size)
	}
	writeDesignRows(&page, slopeByFigure)
	return page.String()
}

func writeSlopeTable(page *strings.Builder, slopes []Slope) {
	page.WriteString("### Measured points and fitted lines\n\n")
	page.WriteString("| figure | points (size: value) | base | slope | residual |\n|---|---|---|---|---|\n")
	for _, slope := range slopes {
		var points []string
		for _, point := range slope.Points {
			points = append(points, fmt.Sprintf("%g: %s", point.Size, formatNumber(point.Value)))
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %.1f%% |\n", slope.Figure, strings.Join(points, ", "), formatNumber(slope.Base), formatNumber(slope.Slope), 100*slope.Residual)
	}
}

func formatNumber(value float64) string { return fmt.Sprintf("%.4g", value) }

// writeRow writes one row of the table; a budget of 0 means that none is set.
func writeRow(page *strings.Builder, role, figure, formula string, value, budget float64, unit string) {
	leftText := ""
	budgetText := "none set"
	if budget > 0 {
		budgetText = formatNumber(budget) + " " + unit
		leftText = fmt.Sprintf("%.0f%%", 100*(budget-value)/budget)
		if value > budget {
			leftText = fmt.Sprintf("**broken, %.1f times**", value/budget)
		}
	}
	fmt.Fprintf(page, "| %s | %s | %s | %s %s | %s | %s |\n", role, figure, formula, formatNumber(value), unit, budgetText, leftText)
}

// evaluate returns the value of a line at a size, and the formula for the reader to
// check it.
func evaluate(slope Slope, size float64) (formula string, value float64) {
	return fmt.Sprintf("%s + %s × %g", formatNumber(slope.Base), formatNumber(slope.Slope), size), slope.At(size)
}

func writeNodeRows(page *strings.Builder, slopeByFigure map[string]Slope, size Size) {
	role := size.Name + ", entry node, as it runs"
	formula, value := evaluate(slopeByFigure["feed_bytes_per_node_by_hosts"], size.Hosts)
	writeRow(page, role, "bytes, both ways", formula, value, budgetBytes, "B/s")
	formula, value = evaluate(slopeByFigure["member_cpu_by_hosts"], size.Hosts)
	writeRow(page, role, "processor time", formula, max(0, value), budgetCores, "cores")
	hosts, groups := slopeByFigure["heap_by_hosts"], slopeByFigure["heap_by_groups"]
	formula = fmt.Sprintf("%s × %g hosts + %s × %g groups", formatNumber(hosts.Slope), size.Hosts, formatNumber(groups.Slope), size.Hosts/4)
	writeRow(page, role, "heap", formula, hosts.Slope*size.Hosts+groups.Slope*size.Hosts/4, budgetHeap, "B")
}

func writeLeaderRows(page *strings.Builder, slopeByFigure map[string]Slope, size Size) {
	role := size.Name + ", leader, as it runs"
	nodes, hosts := slopeByFigure["leader_cpu_by_nodes"], slopeByFigure["leader_cpu_by_hosts"]
	slopePerNodeAndHost := hosts.Slope / fixedNodes
	formula := fmt.Sprintf("%s × %g nodes + %s × %g nodes × %g hosts", formatNumber(nodes.Slope), size.Nodes, formatNumber(slopePerNodeAndHost), size.Nodes, size.Hosts)
	writeRow(page, role, "processor time for reports", formula, nodes.Slope*size.Nodes+slopePerNodeAndHost*size.Nodes*size.Hosts, 0, "cores")
	change := slopeByFigure["change_cpu_by_changes"]
	formula = fmt.Sprintf("%s × %g / %g", formatNumber(change.Slope), size.Changes, daySeconds)
	writeRow(page, role, "processor time for changes", formula, change.Slope*size.Changes/daySeconds, 0, "cores")
	calls, changes := slopeByFigure["heap_by_calls"], slopeByFigure["heap_by_changes"]
	formula = fmt.Sprintf("%s × %g calls + %s × %g changes", formatNumber(calls.Slope), size.Calls, formatNumber(changes.Slope), size.Changes)
	writeRow(page, size.Name+", voter, as it runs", "heap", formula, calls.Slope*size.Calls+changes.Slope*size.Changes, 0, "B")
}

// usualVoters is the number of voters at both sizes; at the target each region has
// as many.
const usualVoters = 3.0

// writeVoterRows writes the cost of the messages between voters, and that of one
// engine's announcer.
func writeVoterRows(page *strings.Builder, slopeByFigure map[string]Slope, size Size) {
	role := size.Name + ", voter, as it runs"
	heartbeats, changes := slopeByFigure["heartbeat_bytes_by_voters"], slopeByFigure["change_bytes_by_changes"]
	formula := fmt.Sprintf("(%s + %s × %g) / %g + %s × %g / %g", formatNumber(heartbeats.Base), formatNumber(heartbeats.Slope), usualVoters, usualVoters, formatNumber(changes.Slope), size.Changes, daySeconds)
	value := heartbeats.At(usualVoters)/usualVoters + changes.Slope*size.Changes/daySeconds
	writeRow(page, role, "bytes among voters", formula, value, 0, "B/s")
	heartbeatCPU := slopeByFigure["heartbeat_cpu_by_voters"]
	formula = fmt.Sprintf("(%s + %s × %g) / %g", formatNumber(heartbeatCPU.Base), formatNumber(heartbeatCPU.Slope), usualVoters, usualVoters)
	writeRow(page, role, "processor time for heartbeats", formula, max(0, heartbeatCPU.At(usualVoters)/usualVoters), 0, "cores")
	role = size.Name + ", engine's announcer"
	announcementBytes, announcementCPU := slopeByFigure["announcer_bytes_by_announcements"], slopeByFigure["announcer_cpu_by_announcements"]
	writeRow(page, role, "bytes", fmt.Sprintf("%s × 1 a second", formatNumber(announcementBytes.Slope)), announcementBytes.Slope, 0, "B/s")
	writeRow(page, role, "processor time", fmt.Sprintf("%s × 1 a second", formatNumber(announcementCPU.Slope)), announcementCPU.Slope, 0, "cores")
}

// writeDesignRows writes the costs at the target size with relays and subsets, which
// are designed and not implemented yet.
func writeDesignRows(page *strings.Builder, slopeByFigure map[string]Slope) {
	feedBytes, change := slopeByFigure["feed_bytes_per_node_by_hosts"], slopeByFigure["change_bytes_by_changes"]
	nodesPerDataCentre := Target.Nodes / dataCentres
	role := "target, entry node, with relays and subsets (designed)"
	value := feedBytes.At(subsetGroups) + change.Slope*Target.Changes/daySeconds
	formula := fmt.Sprintf("%s + %s × %g + %s × %g / %g", formatNumber(feedBytes.Base), formatNumber(feedBytes.Slope), subsetGroups, formatNumber(change.Slope), Target.Changes, daySeconds)
	writeRow(page, role, "bytes, both ways", formula, value, budgetBytes, "B/s")
	memberCPU := slopeByFigure["member_cpu_by_hosts"]
	formula, cores := evaluate(memberCPU, subsetGroups*4)
	writeRow(page, role, "processor time", formula, max(0, cores), budgetCores, "cores")
	hosts, groups := slopeByFigure["heap_by_hosts"], slopeByFigure["heap_by_groups"]
	formula = fmt.Sprintf("%s × %g × 4 hosts + %s × %g groups", formatNumber(hosts.Slope), subsetGroups, formatNumber(groups.Slope), Target.Hosts/4)
	writeRow(page, role, "heap", formula, hosts.Slope*subsetGroups*4+groups.Slope*Target.Hosts/4, budgetHeap, "B")
	role = "target, relay of a data centre, on a host set aside (designed)"
	writeRow(page, role, "bytes to its nodes", fmt.Sprintf("%s × %.3g nodes", formatNumber(value), nodesPerDataCentre), value*nodesPerDataCentre, 0, "B/s")
	nodes, leaderHosts := slopeByFigure["leader_cpu_by_nodes"], slopeByFigure["leader_cpu_by_hosts"]
	slopePerNodeAndHost := leaderHosts.Slope / fixedNodes
	formula = fmt.Sprintf("%s × %.3g + %s × %.3g × %g", formatNumber(nodes.Slope), nodesPerDataCentre, formatNumber(slopePerNodeAndHost), nodesPerDataCentre, subsetGroups)
	writeRow(page, role, "processor time", formula, nodes.Slope*nodesPerDataCentre+slopePerNodeAndHost*nodesPerDataCentre*subsetGroups, 0, "cores")
	role = "target, leader of a region, before its relays (designed)"
	const relays = 3
	formula = fmt.Sprintf("%s × %d + %s × %d × %g hosts, once in %g s", formatNumber(nodes.Slope), relays, formatNumber(slopePerNodeAndHost), relays, Target.Hosts/6, unchangedRefreshSeconds)
	writeRow(page, role, "processor time", formula, nodes.Slope*relays+slopePerNodeAndHost*relays*Target.Hosts/6/unchangedRefreshSeconds, 0, "cores")
}

// The markers in the page between which ReplaceTable puts the table.
const (
	tableBeginMarker = "<!-- table: script/measure capacity-page writes from here -->"
	tableEndMarker   = "<!-- table: to here -->"
)

// ReplaceTable replaces what is between the markers of a page with a table. It
// returns the page as it was and false if a marker is missing.
func ReplaceTable(page, table string) (string, bool) {
	before, rest, found := strings.Cut(page, tableBeginMarker)
	if !found {
		return page, false
	}
	_, after, found := strings.Cut(rest, tableEndMarker)
	if !found {
		return page, false
	}
	return before + tableBeginMarker + "\n\n" + table + "\n" + tableEndMarker + after, true
}
