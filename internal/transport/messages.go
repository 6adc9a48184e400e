package transport

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
	"lilacglade/internal/serverlist"
	"lilacglade/internal/settings"
)

// The names that the deployment gives its fields and paths.
const (
	fieldID      = "Request-Id"
	fieldClass   = "Request-Class"
	fieldTenant  = "Tenant"
	fieldKey     = "Affinity-Key"
	fieldTimeout = "Request-Timeout-Ms"
	fieldUnique  = "Idempotency-Key"
	fieldRetry   = "Client-Retry"
	fieldHint    = "Work-Hint"
	fieldLoad    = "Server-Load"
	fieldNotRun  = "Not-Started"
	pathAPI      = "/api"
	pathReady    = "/healthz"
)

// once are the fields that a request may hold one time only.
var once = []string{fieldID, fieldClass, fieldTenant, fieldKey, fieldTimeout, fieldUnique, fieldRetry}

// maxTimeout bounds what a caller may ask for.
const maxTimeout = time.Hour

// maxHint is more work than any request can be: what hints at more has no hint.
const maxHint = 100 * time.Second

// hint reads the work in microseconds that a caller estimates, 0 where it is not told or no number that can
// be one. Guards against optional fields that have a request turned away, or are believed whatever they say.
func hint(m *http1.Message) time.Duration {
	v := m.Get(fieldHint)
	if len(v) == 0 || m.Count(fieldHint) > 1 {
		return 0
	}
	us, err := strconv.ParseFloat(string(v), 64)
	if most := float64(maxHint / time.Microsecond); err != nil || !(us > 0 && us <= most) {
		return 0
	}
	return time.Duration(us * float64(time.Microsecond))
}

// faulty words the answer to what can't be taken as a request.
func faulty(id reducer.LegID, status int, fields string, last bool) reducer.CallerFaulty {
	return reducer.CallerFaulty{Leg: id, Payload: http1.Answer(status, fields, "", last), Last: last}
}

// unreadable words the answer to what the parser gave up on.
func unreadable(id reducer.LegID, err error) reducer.CallerFaulty {
	switch err {
	case http1.ErrHeadSize:
		return faulty(id, 431, "", true)
	case http1.ErrBodySize:
		return faulty(id, 413, "", true)
	}
	return faulty(id, 400, "", true)
}

// asked turns a request that was read at the given time into its event. Stale says that classes that are no
// longer offered are taken, too.
func asked(set *settings.Settings, stale bool, id reducer.LegID, m *http1.Message,
	read time.Duration) reducer.Event {
	method := string(m.Method)
	switch string(m.Path()) {
	case pathReady:
		if method != "GET" {
			return faulty(id, 405, "Allow: GET\r\n", m.Close)
		}
		return reducer.CallerProbed{Leg: id, Last: m.Close}
	case pathAPI:
	default:
		return faulty(id, 404, "", m.Close)
	}
	if method != "GET" && method != "POST" {
		return faulty(id, 405, "Allow: GET, POST\r\n", m.Close)
	}
	for _, name := range once {
		if m.Count(name) > 1 {
			return faulty(id, 400, "", true) // whoever reads it next may take another one
		}
	}
	class := -1
	for i := range set.Classes {
		offered := set.Offered == 0 || i < set.Offered
		if string(m.Get(fieldClass)) != set.Classes[i].Name || !offered && !stale {
			continue
		}
		// Of two with one name the one that fits counts, else the one that is offered.
		if class < 0 || !fits(&set.Classes[class], m) && fits(&set.Classes[i], m) {
			class = i
		}
	}
	if class < 0 || len(m.Get(fieldID)) == 0 {
		return faulty(id, 400, "", true)
	}
	c := &set.Classes[class]
	if want := methodOf(c.Effect); method != want {
		return faulty(id, 405, "Allow: "+want+"\r\n", m.Close)
	}
	may := c.Deadline
	if v := m.Get(fieldTimeout); v != nil {
		ms, err := strconv.ParseUint(string(v), 10, 32)
		if may = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || may > maxTimeout {
			return faulty(id, 400, "", true)
		}
	}
	if (len(m.Get(fieldUnique)) > 0) != (c.Effect == lg.Keyed) {
		return faulty(id, 400, "", true)
	}
	ev := reducer.CallerAsked{Leg: id, Name: string(m.Get(fieldID)), Class: class, Tenant: -1,
		Deadline: read + may, Repeat: string(m.Get(fieldRetry)) == "1", Cost: hint(m), Payload: m, Last: m.Close}
	for i := range set.Tenants {
		if string(m.Get(fieldTenant)) == set.Tenants[i].Name {
			ev.Tenant = i
		}
	}
	if key := m.Get(fieldKey); len(key) > 0 {
		ev.Key, ev.HasKey = serverlist.Hash(key), true
	}
	return ev
}

// fits tells whether a request has the form that a class asks for.
func fits(c *lg.Class, m *http1.Message) bool {
	return string(m.Method) == methodOf(c.Effect) && (len(m.Get(fieldUnique)) > 0) == (c.Effect == lg.Keyed)
}

// methodOf is the method that goes with what a class may do.
func methodOf(e lg.Effect) string {
	if e == lg.Safe {
		return "GET"
	}
	return "POST"
}

// answered turns a next hop's answer into its event. Only the two statuses that say so
// themselves prove that the request never ran.
func answered(set *settings.Settings, id reducer.LegID, m *http1.Message,
	keep bool) reducer.HopAnswered {
	ev := reducer.HopAnswered{Leg: id, Result: lg.ServerError, Payload: m, Keep: keep && !m.Close,
		Load: load(set.Report, m.Get(fieldLoad))}
	switch m.Status {
	case 200:
		ev.Result = lg.OK
	case 503, 504:
		if string(m.Get(fieldNotRun)) == "1" {
			ev.Result = lg.Full
		}
	}
	return ev
}

// load reads a load report; one that is garbled or lacks a value counts as none.
func load(names []lg.LoadField, text []byte) lg.LoadReport {
	if len(text) == 0 || len(names) > len(lg.LoadReport{}.Values) {
		return lg.LoadReport{}
	}
	report := lg.LoadReport{N: len(names)}
	found := 0
	for part := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		field, known := settings.LoadFields[string(name)]
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			return lg.LoadReport{}
		}
		for i, n := range names {
			if known && n == field {
				report.Values[i] = v
				found++
			}
		}
	}
	if found != len(names) {
		return lg.LoadReport{}
	}
	return report
}

// answer words an answer to a caller.
func answer(e reducer.Effect) [][]byte {
	switch e.Verdict {
	case reducer.Served:
		return e.Payload.(*http1.Message).Back(fieldLoad, e.Last)
	case reducer.Faulty:
		return e.Payload.([][]byte)
	case reducer.ReadyNow:
		return http1.Answer(200, "", "ready\n", e.Last)
	case reducer.NotReady:
		return http1.Answer(503, "", "not ready\n", e.Last)
	case reducer.Busy:
		fields := ""
		if e.Advice > 0 {
			seconds := strings.TrimSuffix(fmt.Sprintf("%.3f", e.Advice.Seconds()), ".000")
			fields = "Retry-After: " + seconds + "\r\n"
		}
		return http1.Answer(503, fields, "", e.Last)
	case reducer.Taken:
		return http1.Answer(409, "", "", e.Last)
	case reducer.TooSlow:
		return http1.Answer(408, "", "", e.Last)
	case reducer.Late:
		return http1.Answer(504, "", "", e.Last)
	}
	return http1.Answer(502, "", "", e.Last)
}
