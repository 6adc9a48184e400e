package lab

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lilacglade/internal/emulator"
)

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }

// Table prints a run's result for a terminal.
func Table(out io.Writer, r *emulator.Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("scenario", "%s, seed %d, %v, %s, %s mode", r.Scenario, r.Seed, r.Duration, r.Policy, r.Mode)
	row("G", "%.4f", r.G)
	row("service", "whole %.4f, worst window %.4f (from %d s)", r.Whole, r.WorstWindow, r.WorstFrom)
	for _, m := range []struct {
		name string
		of   map[string]emulator.Share
	}{{"class", r.Classes}, {"township", r.Tenants}} {
		for _, name := range sorted(m.of) {
			row(m.name+" "+name, "%.4f", m.of[name].Part())
		}
	}
	var prices []string
	for _, name := range sorted(r.Prices) {
		prices = append(prices, fmt.Sprintf("%s %.4f", name, r.Prices[name]))
	}
	row("prices", "%s", strings.Join(prices, ", "))
	var ends []string
	for i, n := range r.Outcomes {
		if n > 0 {
			ends = append(ends, fmt.Sprintf("%s %d", emulator.Outcomes[i], n))
		}
	}
	row("tries", "%d: %s", r.Asked, strings.Join(ends, ", "))
	row("refused early, held back", "%d, %d", r.Early, r.HeldBack)
	row("attempts", "%d, of which across substations %d, turned away %d, on dead legs %d", r.Attempts,
		r.Crossing,
		turned(r), r.DeadLegs)
	row("openings", "%d, at most %d open at one server", r.Openings, r.MostOpen)
	l := r.Lists
	row("calls for the list", "%d, at most %d in a second; answered %d, failed %d; %d behind at once, %d "+
		"proxy seconds", l.Asked, l.Peak, l.Answered, l.Failed, l.MostBehind, l.Behind)
	row("work", "%.1f s, of which for nothing %.1f s", r.Work, r.Wasted)
	row("latency, ms", "p50 %s  p90 %s  p99 %s  p99.9 %s  max %s", ms(r.Latency.P50), ms(r.Latency.P90),
		ms(r.Latency.P99), ms(r.Latency.P999), ms(r.Latency.Max))
	row("servers", "pushed over %d, crowded %d times", r.Tipped, r.Crowded)
	for _, name := range sorted(r.Figures) {
		row(name, "%s", r.Figures[name])
	}
	if r.Took > 0 {
		row("took", "%v, %.0f times real time", r.Took.Round(time.Millisecond),
			r.Duration.Seconds()/r.Took.Seconds())
	}
	if r.Hash != "" {
		row("events", "%s", r.Hash)
	}
	if r.Rules() == 0 {
		row("rules", "kept")
	}
	for _, rule := range sorted(r.Broken) {
		row("BROKEN "+string(rule), "%d times", r.Broken[rule])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i, b := range r.Breaks {
		if i == 8 {
			fmt.Fprintf(out, "  and more\n")
			break
		}
		fmt.Fprintf(out, "  %s at %.3f s, proxy %d, request %d: %s\n", b.Rule, b.At.Seconds(), b.Proxy, b.Ask,
			b.Why)
	}
	return nil
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// group is the records of one scenario, settings and policy over its seeds.
type group struct {
	scenario, label, policy, mode string
	records                       []Record
}

func (g *group) name() string {
	name := g.policy
	if g.mode == Sockets {
		name += " on sockets"
	}
	if g.label != "" {
		name += " " + g.label
	}
	return name
}

func groups(records []Record) []*group {
	var all []*group
	for _, r := range records {
		i := slices.IndexFunc(all, func(g *group) bool {
			return g.scenario == r.Scenario && g.label == r.Label && g.policy == r.Policy && g.mode == r.Mode
		})
		if i < 0 {
			i = len(all)
			all = append(all, &group{scenario: r.Scenario, label: r.Label, policy: r.Policy, mode: r.Mode})
		}
		all[i].records = append(all[i].records, r)
	}
	return all
}

func (g *group) mean(figure func(*emulator.Result) float64) float64 {
	sum := 0.0
	for _, r := range g.records {
		sum += figure(r.Result)
	}
	return sum / float64(len(g.records))
}

// columns of the summary, in their order.
var columns = []struct{ head, figure, format string }{
	{"G", "g", "%.4f"}, {"whole", "whole", "%.4f"}, {"worst 10 s", "worst", "%.4f"}, {"p50 ms", "p50", "%.1f"},
	{"p99 ms", "p99", "%.1f"}, {"p99.9 ms", "p999", "%.1f"}, {"refused", "refused", "%.4f"},
	{"attempts a try", "attempts", "%.3f"}, {"openings of 1000", "openings", "%.2f"}, {"wasted", "wasted",
		"%.4f"},
	{"turned away", "turned", "%.0f"}, {"rules broken", "broken", "%.1f"},
}

// Summary prints one line for each scenario, settings and policy, as a Markdown table.
func Summary(out io.Writer, records []Record) {
	fmt.Fprintf(out, "| scenario | settings | policy | mode | runs |")
	for _, c := range columns {
		fmt.Fprintf(out, " %s |", c.head)
	}
	fmt.Fprintf(out, "\n|%s\n", strings.Repeat(" --- |", 5+len(columns)))
	for _, g := range groups(records) {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %d |", g.scenario, g.label, g.policy, g.mode, len(g.records))
		for _, c := range columns {
			fmt.Fprintf(out, " "+c.format+" |", g.mean(Figures[c.figure]))
		}
		fmt.Fprintln(out)
	}
}

// Report writes report.md and its charts to a folder.
func Report(dir, title, command string, records []Record) error {
	if len(records) == 0 {
		return fmt.Errorf("no results to report")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n", title)
	if command != "" {
		fmt.Fprintf(&b, "    %s\n\n", command)
	}
	if c := records[0].Commit; c != "" {
		fmt.Fprintf(&b, "At commit %s.\n\n", c)
	}
	b.WriteString("Means over the runs; service and G are parts of one, as docs/lab.md defines them.\n\n")
	Summary(&b, records)
	all := groups(records)
	var names []string
	for _, g := range all {
		if !slices.Contains(names, g.scenario) {
			names = append(names, g.scenario)
		}
	}
	for _, name := range names {
		var of []*group
		for _, g := range all {
			if g.scenario == name && len(of) < mostLines {
				of = append(of, g)
			}
		}
		fmt.Fprintf(&b, "\n## %s\n", name)
		for _, c := range charts {
			p := plot.New()
			p.Title.Text = name + ": " + c.title
			p.X.Label.Text, p.Y.Label.Text = c.x, c.y
			p.Add(plotter.NewGrid())
			p.Legend.Top = true
			if c.log {
				p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
			}
			drawn := false
			for i, g := range of {
				pts := c.points(g)
				if len(pts) == 0 {
					continue
				}
				drawn = true
				line, err := plotter.NewLine(pts)
				if err != nil {
					return err
				}
				line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
				p.Add(line)
				p.Legend.Add(g.name(), line)
			}
			if !drawn {
				continue
			}
			file := slug(name) + "-" + c.file + ".svg"
			if err := p.Save(18*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, file)); err != nil {
				return err
			}
			fmt.Fprintf(&b, "\n![%s](%s)\n", c.title, file)
		}
		if notes := of[0].records[0].Notes; len(notes) > 0 {
			b.WriteString("\nWhat happened in the first run:\n\n")
			for i, n := range notes {
				if i == mostNotes {
					b.WriteString("    ...\n")
					break
				}
				fmt.Fprintf(&b, "    %s\n", n)
			}
		}
	}
	return os.WriteFile(filepath.Join(dir, "report.md"), []byte(b.String()), 0o644)
}

// mostLines bounds the lines of a chart, mostNotes the notes shown.
const (
	mostLines = 12
	mostNotes = 40
)

func slug(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(s))
}

type chart struct {
	file, title, x, y string
	log               bool
	points            func(g *group) plotter.XYs
}

// bySecond averages a figure of each second over a group's runs.
func bySecond(figure func(emulator.Second) float64) func(*group) plotter.XYs {
	return func(g *group) plotter.XYs {
		var pts plotter.XYs
		for i := range g.records[0].Seconds {
			sum, n := 0.0, 0
			for _, r := range g.records {
				if i < len(r.Seconds) {
					if v := figure(r.Seconds[i]); !math.IsNaN(v) {
						sum += v
						n++
					}
				}
			}
			if n > 0 {
				pts = append(pts, plotter.XY{X: float64(i), Y: sum / float64(n)})
			}
		}
		return pts
	}
}

// inFlight gives each server's requests in flight in a group's first run.
func perServer(figure func(emulator.Second, int) float64) func(*group) plotter.XYs {
	return func(g *group) plotter.XYs {
		r := g.records[0]
		var pts plotter.XYs
		for i := range r.Servers {
			sum, n := 0.0, 0
			for _, s := range r.Seconds {
				if i < len(s.Held) {
					sum += figure(s, i)
					n++
				}
			}
			if n > 0 {
				pts = append(pts, plotter.XY{X: float64(i), Y: sum / float64(n)})
			}
		}
		return pts
	}
}

var charts = []chart{
	{file: "service", title: "service over time", x: "s", y: "worth served / asked",
		points: bySecond(func(s emulator.Second) float64 {
			if s.Offered == 0 {
				return math.NaN()
			}
			return s.Earned / s.Offered
		})},
	{file: "latency", title: "latency of calls served", x: "percentile", y: "ms", log: true,
		points: func(g *group) plotter.XYs {
			var pts plotter.XYs
			for i, c := range g.records[0].Latency.Curve {
				sum := 0.0
				for _, r := range g.records {
					sum += r.Latency.Curve[i][1]
				}
				if y := sum / float64(len(g.records)); y > 0 {
					pts = append(pts, plotter.XY{X: c[0], Y: y})
				}
			}
			return pts
		}},
	{file: "in-flight", title: "requests in flight over time", x: "s", y: "at all servers",
		points: bySecond(func(s emulator.Second) float64 { return float64(s.InFlight) })},
	{file: "by-server", title: "mean requests in flight by server", x: "server", y: "requests",
		points: perServer(func(s emulator.Second, i int) float64 { return float64(s.Held[i]) })},
	{file: "connections", title: "connections to servers over time", x: "s", y: "open",
		points: bySecond(func(s emulator.Second) float64 { return float64(s.Conns) })},
	{file: "most-connections", title: "most connections by server", x: "server", y: "open at once",
		points: func(g *group) plotter.XYs {
			var pts plotter.XYs
			for i, s := range g.records[0].Servers {
				pts = append(pts, plotter.XY{X: float64(i), Y: float64(s.MostConns)})
			}
			return pts
		}},
	{file: "refusals", title: "refusals", x: "s", y: "tries refused",
		points: bySecond(func(s emulator.Second) float64 { return float64(s.Refused) })},
	{file: "retries", title: "attempts for a try", x: "s", y: "attempts",
		points: bySecond(func(s emulator.Second) float64 {
			if s.Tries == 0 {
				return math.NaN()
			}
			return float64(s.Attempts) / float64(s.Tries)
		})},
}
