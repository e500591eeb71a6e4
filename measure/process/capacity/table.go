package capacity

import (
	"fmt"
	"strings"
)

// Size is how large a system is.
type Size struct {
	Name    string
	Nodes   float64
	Hosts   float64
	Changes float64 // a day
	Calls   float64 // that must not repeat, kept for their answers
}

// Budget is what the users allow one node for control.
const (
	budgetBytes = 14_000.0 // bytes a second
	budgetCores = 0.041    // of a core
	budgetHeap  = 32e6     // bytes
	daySeconds  = 86_400.0
	// subsetGroups bounds the endpoints that a node considers; only the first
	// host of each reports load.
	subsetGroups = 48.0
	centres      = 17.0
	// calmEvery is how often a relay vouches for what hasn't changed.
	calmEvery = 1.0
)

// Today and Target are the two sizes of the page.
var (
	Today  = Size{"today", 9, 63, 200, 2000}
	Target = Size{"target", 520, 12_000, 20_000, 20_000}
)

// Table works the page's figures out from slopes; each row shows its sum.
func Table(slopes []Slope) string {
	lines := map[string]Slope{}
	for _, slope := range slopes {
		lines[slope.Figure] = slope
	}
	var page strings.Builder
	slopeTable(&page, slopes)
	page.WriteString("\n### What each role spends\n\n")
	page.WriteString("| size, role | figure | sum | value | budget | left |\n|---|---|---|---|---|---|\n")
	for _, size := range []Size{Today, Target} {
		nodeRows(&page, lines, size)
		leaderRows(&page, lines, size)
		voterRows(&page, lines, size)
	}
	designRows(&page, lines)
	return page.String()
}

func slopeTable(page *strings.Builder, slopes []Slope) {
	page.WriteString("### Measured points and fitted lines\n\n")
	page.WriteString("| figure | points (size: value) | base | slope | residual |\n|---|---|---|---|---|\n")
	for _, slope := range slopes {
		var points []string
		for _, point := range slope.Points {
			points = append(points, fmt.Sprintf("%g: %s", point.Size, plain(point.Value)))
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %.1f%% |\n", slope.Figure, strings.Join(points, ", "), plain(slope.Base), plain(slope.Slope), 100*slope.Residual)
	}
}

func plain(value float64) string { return fmt.Sprintf("%.4g", value) }

// row writes one line; a budget of zero means that there is none.
func row(page *strings.Builder, role, figure, sum string, value, budget float64, unit string) {
	left := ""
	allowed := "none set"
	if budget > 0 {
		allowed = plain(budget) + " " + unit
		left = fmt.Sprintf("%.0f%%", 100*(budget-value)/budget)
		if value > budget {
			left = fmt.Sprintf("**broken, %.1f times**", value/budget)
		}
	}
	fmt.Fprintf(page, "| %s | %s | %s | %s %s | %s | %s |\n", role, figure, sum, plain(value), unit, allowed, left)
}

// line is a sum that a reader can check.
func line(slope Slope, size float64) (sum string, value float64) {
	return fmt.Sprintf("%s + %s × %g", plain(slope.Base), plain(slope.Slope), size), slope.At(size)
}

func nodeRows(page *strings.Builder, lines map[string]Slope, size Size) {
	role := size.Name + ", entry node, as it runs"
	sum, value := line(lines["feed_bytes_per_node_by_hosts"], size.Hosts)
	row(page, role, "bytes, both ways", sum, value, budgetBytes, "B/s")
	sum, value = line(lines["member_cpu_by_hosts"], size.Hosts)
	row(page, role, "processor time", sum, max(0, value), budgetCores, "cores")
	hosts, groups := lines["heap_by_hosts"], lines["heap_by_groups"]
	sum = fmt.Sprintf("%s × %g hosts + %s × %g groups", plain(hosts.Slope), size.Hosts, plain(groups.Slope), size.Hosts/4)
	row(page, role, "heap", sum, hosts.Slope*size.Hosts+groups.Slope*size.Hosts/4, budgetHeap, "B")
}

func leaderRows(page *strings.Builder, lines map[string]Slope, size Size) {
	role := size.Name + ", leader, as it runs"
	nodes, hosts := lines["leader_cpu_by_nodes"], lines["leader_cpu_by_hosts"]
	perPair := hosts.Slope / fewNodes
	sum := fmt.Sprintf("%s × %g nodes + %s × %g nodes × %g hosts", plain(nodes.Slope), size.Nodes, plain(perPair), size.Nodes, size.Hosts)
	row(page, role, "processor time for reports", sum, nodes.Slope*size.Nodes+perPair*size.Nodes*size.Hosts, 0, "cores")
	change := lines["change_cpu_by_changes"]
	sum = fmt.Sprintf("%s × %g / %g", plain(change.Slope), size.Changes, daySeconds)
	row(page, role, "processor time for changes", sum, change.Slope*size.Changes/daySeconds, 0, "cores")
	calls, changes := lines["heap_by_calls"], lines["heap_by_changes"]
	sum = fmt.Sprintf("%s × %g calls + %s × %g changes", plain(calls.Slope), size.Calls, plain(changes.Slope), size.Changes)
	row(page, size.Name+", voter, as it runs", "heap", sum, calls.Slope*size.Calls+changes.Slope*size.Changes, 0, "B")
}

// votersToday is the usual number of voters; at the target each region has as
// many.
const votersToday = 3.0

// voterRows are what voters say to each other and what an announcer spends.
func voterRows(page *strings.Builder, lines map[string]Slope, size Size) {
	role := size.Name + ", voter, as it runs"
	heartbeats, changes := lines["heartbeat_bytes_by_voters"], lines["change_bytes_by_changes"]
	sum := fmt.Sprintf("(%s + %s × %g) / %g + %s × %g / %g", plain(heartbeats.Base), plain(heartbeats.Slope), votersToday, votersToday, plain(changes.Slope), size.Changes, daySeconds)
	value := heartbeats.At(votersToday)/votersToday + changes.Slope*size.Changes/daySeconds
	row(page, role, "bytes among voters", sum, value, 0, "B/s")
	cores := lines["heartbeat_cpu_by_voters"]
	sum = fmt.Sprintf("(%s + %s × %g) / %g", plain(cores.Base), plain(cores.Slope), votersToday, votersToday)
	row(page, role, "processor time for heartbeats", sum, max(0, cores.At(votersToday)/votersToday), 0, "cores")
	role = size.Name + ", engine's announcer"
	bytes, processor := lines["announcer_bytes_by_announcements"], lines["announcer_cpu_by_announcements"]
	row(page, role, "bytes", fmt.Sprintf("%s × 1 a second", plain(bytes.Slope)), bytes.Slope, 0, "B/s")
	row(page, role, "processor time", fmt.Sprintf("%s × 1 a second", plain(processor.Slope)), processor.Slope, 0, "cores")
}

// designRows are the target size with relays and subsets, which are designed
// and don't run yet.
func designRows(page *strings.Builder, lines map[string]Slope) {
	bytes, change := lines["feed_bytes_per_node_by_hosts"], lines["change_bytes_by_changes"]
	perNode := Target.Nodes / centres
	role := "target, entry node, with relays and subsets (designed)"
	value := bytes.At(subsetGroups) + change.Slope*Target.Changes/daySeconds
	sum := fmt.Sprintf("%s + %s × %g + %s × %g / %g", plain(bytes.Base), plain(bytes.Slope), subsetGroups, plain(change.Slope), Target.Changes, daySeconds)
	row(page, role, "bytes, both ways", sum, value, budgetBytes, "B/s")
	cpu := lines["member_cpu_by_hosts"]
	sum, cores := line(cpu, subsetGroups*4)
	row(page, role, "processor time", sum, max(0, cores), budgetCores, "cores")
	hosts, groups := lines["heap_by_hosts"], lines["heap_by_groups"]
	sum = fmt.Sprintf("%s × %g × 4 hosts + %s × %g groups", plain(hosts.Slope), subsetGroups, plain(groups.Slope), Target.Hosts/4)
	row(page, role, "heap", sum, hosts.Slope*subsetGroups*4+groups.Slope*Target.Hosts/4, budgetHeap, "B")
	role = "target, relay of a data centre, on a host set aside (designed)"
	row(page, role, "bytes to its nodes", fmt.Sprintf("%s × %.3g nodes", plain(value), perNode), value*perNode, 0, "B/s")
	nodes, leaderHosts := lines["leader_cpu_by_nodes"], lines["leader_cpu_by_hosts"]
	perPair := leaderHosts.Slope / fewNodes
	sum = fmt.Sprintf("%s × %.3g + %s × %.3g × %g", plain(nodes.Slope), perNode, plain(perPair), perNode, subsetGroups)
	row(page, role, "processor time", sum, nodes.Slope*perNode+perPair*perNode*subsetGroups, 0, "cores")
	role = "target, leader of a region, before its relays (designed)"
	const relays = 3
	sum = fmt.Sprintf("%s × %d + %s × %d × %g hosts, once in %g s", plain(nodes.Slope), relays, plain(perPair), relays, Target.Hosts/6, calmEvery)
	row(page, role, "processor time", sum, nodes.Slope*relays+perPair*relays*Target.Hosts/6/calmEvery, 0, "cores")
}

// The marks between which the page holds the table.
const (
	tableBegins = "<!-- table: script/measure capacity-page writes from here -->"
	tableEnds   = "<!-- table: to here -->"
)

// Replace puts a table between the marks of a page; it is false when the page
// has no marks.
func Replace(page, table string) (string, bool) {
	before, rest, found := strings.Cut(page, tableBegins)
	if !found {
		return page, false
	}
	_, after, found := strings.Cut(rest, tableEnds)
	if !found {
		return page, false
	}
	return before + tableBegins + "\n\n" + table + "\n" + tableEnds + after, true
}
