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

// Names of the header fields and paths that the deployment uses.
const (
	fieldID             = "Request-Id"
	fieldClass          = "Request-Class"
	fieldTenant         = "Tenant"
	fieldAffinityKey    = "Affinity-Key"
	fieldTimeout        = "Request-Timeout-Ms"
	fieldIdempotencyKey = "Idempotency-Key"
	fieldClientRetry    = "Client-Retry"
	fieldWorkHint       = "Work-Hint"
	fieldLoad           = "Server-Load"
	fieldNotStarted     = "Not-Started"
	pathAPI             = "/api"
	pathHealth          = "/healthz"
)

// singletonFields are the fields that a request may hold only once.
var singletonFields = []string{fieldID, fieldClass, fieldTenant, fieldAffinityKey, fieldTimeout,
	fieldIdempotencyKey, fieldClientRetry}

// maxTimeout limits the timeout that a client may ask for.
const maxTimeout = time.Hour

// maxWorkHint is more work than any request can be: a larger hint counts as absent.
const maxWorkHint = 100 * time.Second

// workHint returns a client's estimate of a request's work, which is sent in microseconds; 0 where
// it is missing or not a valid number. It never fails: an optional field must not cause a
// rejection, and an implausible value must not be used.
func workHint(message *http1.Message) time.Duration {
	value := message.Get(fieldWorkHint)
	if len(value) == 0 || message.Count(fieldWorkHint) > 1 {
		return 0
	}
	microseconds, err := strconv.ParseFloat(string(value), 64)
	if limit := float64(maxWorkHint / time.Microsecond); err != nil ||
		!(microseconds > 0 && microseconds <= limit) {
		return 0
	}
	return time.Duration(microseconds * float64(time.Microsecond))
}

// invalidRequest returns the event that answers what can't be accepted as a request.
func invalidRequest(id reducer.ConnID, status int, fields string, last bool) reducer.RequestInvalid {
	return reducer.RequestInvalid{Conn: id, Payload: http1.Answer(status, fields, "", last), Last: last}
}

// parseFailure returns the event that answers a request that the parser rejected.
func parseFailure(id reducer.ConnID, err error) reducer.RequestInvalid {
	switch err {
	case http1.ErrHeadSize:
		return invalidRequest(id, 431, "", true)
	case http1.ErrBodySize:
		return invalidRequest(id, 413, "", true)
	}
	return invalidRequest(id, 400, "", true)
}

// requestEvent turns a request that was read at the given time into its event. AcceptStale reports
// that classes that are no longer offered are accepted, too.
func requestEvent(config *settings.Settings, acceptStale bool, id reducer.ConnID, message *http1.Message,
	readAt time.Duration) reducer.Event {
	method := string(message.Method)
	switch string(message.Path()) {
	case pathHealth:
		if method != "GET" {
			return invalidRequest(id, 405, "Allow: GET\r\n", message.Close)
		}
		return reducer.HealthChecked{Conn: id, Last: message.Close}
	case pathAPI:
	default:
		return invalidRequest(id, 404, "", message.Close)
	}
	if method != "GET" && method != "POST" {
		return invalidRequest(id, 405, "Allow: GET, POST\r\n", message.Close)
	}
	for _, name := range singletonFields {
		if message.Count(name) > 1 {
			return invalidRequest(id, 400, "", true) // the next reader might use another one of them
		}
	}
	classIndex := -1
	for i := range config.Classes {
		offered := config.Offered == 0 || i < config.Offered
		if string(message.Get(fieldClass)) != config.Classes[i].Name || !offered && !acceptStale {
			continue
		}
		// Of two classes with one name the one that matches the request counts, else the one that
		// is offered.
		if classIndex < 0 || !matchesClass(&config.Classes[classIndex], message) &&
			matchesClass(&config.Classes[i], message) {
			classIndex = i
		}
	}
	if classIndex < 0 || len(message.Get(fieldID)) == 0 {
		return invalidRequest(id, 400, "", true)
	}
	class := &config.Classes[classIndex]
	if wantMethod := methodFor(class.Effect); method != wantMethod {
		return invalidRequest(id, 405, "Allow: "+wantMethod+"\r\n", message.Close)
	}
	timeout := class.Deadline
	if value := message.Get(fieldTimeout); value != nil {
		milliseconds, err := strconv.ParseUint(string(value), 10, 32)
		if timeout = time.Duration(milliseconds) * time.Millisecond; err != nil || milliseconds == 0 ||
			timeout > maxTimeout {
			return invalidRequest(id, 400, "", true)
		}
	}
	if (len(message.Get(fieldIdempotencyKey)) > 0) != (class.Effect == lg.Keyed) {
		return invalidRequest(id, 400, "", true)
	}
	event := reducer.RequestReceived{Conn: id, Name: string(message.Get(fieldID)), Class: classIndex, Tenant: -1,
		Deadline: readAt + timeout, Repeat: string(message.Get(fieldClientRetry)) == "1",
		Cost: workHint(message), Payload: message, Last: message.Close}
	for i := range config.Tenants {
		if string(message.Get(fieldTenant)) == config.Tenants[i].Name {
			event.Tenant = i
		}
	}
	if key := message.Get(fieldAffinityKey); len(key) > 0 {
		event.Key, event.HasKey = serverlist.Hash(key), true
	}
	return event
}

// matchesClass reports whether a request has the form that a class requires.
func matchesClass(class *lg.Class, message *http1.Message) bool {
	return string(message.Method) == methodFor(class.Effect) &&
		(len(message.Get(fieldIdempotencyKey)) > 0) == (class.Effect == lg.Keyed)
}

// methodFor returns the method of the requests of a class with that effect.
func methodFor(effect lg.Effect) string {
	if effect == lg.Safe {
		return "GET"
	}
	return "POST"
}

// responseEvent turns a server's response into its event. Only the two statuses that can say so
// prove that the request never started.
func responseEvent(config *settings.Settings, id reducer.ConnID, message *http1.Message,
	reusable bool) reducer.ServerAnswered {
	event := reducer.ServerAnswered{Conn: id, Result: lg.ServerError, Payload: message,
		Reusable: reusable && !message.Close, Load: parseLoadReport(config.Report, message.Get(fieldLoad))}
	switch message.Status {
	case 200:
		event.Result = lg.OK
	case 503, 504:
		if string(message.Get(fieldNotStarted)) == "1" {
			event.Result = lg.Full
		}
	}
	return event
}

// parseLoadReport parses a load report; one that is malformed or lacks a value counts as none.
func parseLoadReport(names []lg.LoadField, text []byte) lg.LoadReport {
	if len(text) == 0 || len(names) > len(lg.LoadReport{}.Values) {
		return lg.LoadReport{}
	}
	report := lg.LoadReport{N: len(names)}
	found := 0
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
		field, known := settings.LoadFields[string(name)]
		number, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			return lg.LoadReport{}
		}
		for i, wanted := range names {
			if known && wanted == field {
				report.Values[i] = number
				found++
			}
		}
	}
	if found != len(names) {
		return lg.LoadReport{}
	}
	return report
}

// encodeAnswer returns the bytes of an answer to a client.
func encodeAnswer(effect reducer.Effect) [][]byte {
	switch effect.Verdict {
	case reducer.Served:
		return effect.Payload.(*http1.Message).ForwardResponse(fieldLoad, effect.Last)
	case reducer.Invalid:
		return effect.Payload.([][]byte)
	case reducer.ReadyNow:
		return http1.Answer(200, "", "ready\n", effect.Last)
	case reducer.NotReady:
		return http1.Answer(503, "", "not ready\n", effect.Last)
	case reducer.Rejected:
		fields := ""
		if effect.RetryAfter > 0 {
			seconds := strings.TrimSuffix(fmt.Sprintf("%.3f", effect.RetryAfter.Seconds()), ".000")
			fields = "Retry-After: " + seconds + "\r\n"
		}
		return http1.Answer(503, fields, "", effect.Last)
	case reducer.DuplicateName:
		return http1.Answer(409, "", "", effect.Last)
	case reducer.TooSlow:
		return http1.Answer(408, "", "", effect.Last)
	case reducer.DeadlineExceeded:
		return http1.Answer(504, "", "", effect.Last)
	}
	return http1.Answer(502, "", "", effect.Last)
}
