package admin

import (
	"strings"
	"testing"
	"time"

	"lilacglade/internal/reducer"
	"lilacglade/internal/sendguard"
)

// TestWireNames checks the names and formats that operators' tools read.
func TestWireNames(t *testing.T) {
	metrics := &reducer.Metrics{Ready: true, InProgress: 14, RequestsWritten: 5, KnownServers: 12,
		SkippedServers: 2, Loads: 3, LoadErrors: 1, Attempts: [9]uint64{811, 1},
		Closes: [6]uint64{9, 8, 7, 6, 5, 4},
		Sockets: reducer.SocketMetrics{CallsAnswered: 31, CallsFailed: 2, UnwrittenAnswers: 1, ClockSteps: 3,
			SlowEvents: 4, LongestEvent: 72 * time.Millisecond, LongestQueued: 1500,
			LongestListUpdate: 71 * time.Millisecond},
		List: reducer.ListMetrics{Received: true, SinceAnswer: 7 * time.Second, LongestPause: 2 * time.Second,
			FailedCalls: 3, OutdatedAttempts: 6, LeaseExpirations: 4, WithheldAttempts: 8},
		Violations: sendguard.Counts{sendguard.Drained: 2},
		Handled:    []reducer.RequestCounts{{Class: `a"b`, Passed: 812, Dropped: 7, BadGateway: 1}}}
	want := `+OK
node_handled{category="a\"b",outcome="passed"} 812
node_handled{category="a\"b",outcome="dropped"} 7
node_handled{category="a\"b",outcome="bad_gateway"} 1
node_in_progress 14
node_upstream_tries 5
node_known_album_servers 12
node_skipped_album_servers 2
node_loads 3
node_load_errors 1
node_attempts{result="ok"} 811
node_attempts{result="error"} 1
node_attempts{result="full"} 0
node_attempts{result="late"} 0
node_attempts{result="noconn"} 0
node_attempts{result="reset"} 0
node_attempts{result="canceled"} 0
node_attempts{result="moot"} 0
node_attempts{result="local"} 0
node_client_closes{cause="client"} 9
node_client_closes{cause="unwritten"} 8
node_client_closes{cause="last_answer"} 7
node_client_closes{cause="idle"} 6
node_client_closes{cause="room"} 5
node_client_closes{cause="maintenance"} 4
node_violations{rule="drained"} 2
node_violations{rule="ended"} 0
node_violations{rule="at_once"} 0
node_violations{rule="repeated"} 0
node_violations{rule="overdue"} 0
node_violations{rule="abandoned"} 0
node_violations{rule="unconfirmed"} 0
node_violations{rule="expired"} 0
node_list_heard 1
node_list_unheard_ms 7000
node_list_longest_pause_ms 2000
node_list_calls_failed_in_a_row 3
node_list_outdated_attempts 6
node_list_expired 4
node_list_withheld_attempts 8
node_discovery_calls{outcome="answered"} 31
node_discovery_calls{outcome="failed"} 2
node_answers_unwritten 1
node_clock_steps 3
node_reducer_slow_events 4
node_reducer_longest_event_us 72000
node_reducer_longest_queued_us 1
node_reducer_longest_list_us 71000
.
`
	if got := string(Answer("DUMP", metrics)); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// TestAnswers checks the status of each answer, for known and unknown commands.
func TestAnswers(t *testing.T) {
	ready, notReady := &reducer.Metrics{Ready: true}, &reducer.Metrics{}
	for _, tc := range []struct {
		command string
		metrics *reducer.Metrics
		want    string
	}{
		{"HEALTH", ready, "+OK"}, {"HEALTH", notReady, "-ERR"}, {"HEALTH", nil, "-ERR"}, {"DUMP", nil, "-ERR"},
		{"DUMP", notReady, "+OK"}, {"health", ready, "-ERR"}, {"", ready, "-ERR"}, {"\x00\xff", ready, "-ERR"},
	} {
		if got := string(Answer(tc.command, tc.metrics)); !strings.HasPrefix(got, tc.want) ||
			!strings.HasSuffix(got, "\n") {
			t.Errorf("%q: got %q, want %s", tc.command, got, tc.want)
		}
	}
}
