package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"lilacglade/internal/peers"
)

const workUsage = `usage: lilacglade work [flags] status
       lilacglade work [flags] submit FILE
       lilacglade work [flags] pause|resume|cancel ORDER
       lilacglade work [flags] out|back|fail MACHINE
       lilacglade work [flags] forget PROXY

  status   what stands where, and why something waits
  submit   give an order: machines to take out, one after the other
  pause    grant nothing more of an order; resume ends that; cancel ends the order
  out      say that work on a free machine has begun
  back     say that a machine takes requests again
  fail     give a machine up; it stays marked
  forget   vouch that no process of a proxy runs any more, and none comes back with its old disk

Sent again with the same --id, a call is carried out once. docs/operate/work-order.md says more.

flags:
`

// workTimeout limits dialing the proxy, and then the exchange of the call and its answer.
const workTimeout = 8 * time.Second

// runWork sends a maintenance command to the admin address of a running proxy and prints the answer.
func runWork(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("lilacglade work", pflag.ContinueOnError)
	admin := flags.String("admin", os.Getenv("NODE_ADMIN"), "where the proxy answers operators")
	id := flags.String("id", "", "id of the call (default: a new one, which is printed)")
	reason := flags.String("why", "", "a reason, for the others")
	flags.Usage = func() { fmt.Fprint(out, workUsage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.Arg(0) == "help" || flags.NArg() == 0 {
		flags.Usage()
		return nil
	}
	action := peers.Action{ID: *id, Do: flags.Arg(0), Why: *reason}
	switch {
	case action.Do == "status" && flags.NArg() == 1:
	case flags.NArg() != 2:
		return fmt.Errorf("work %s: want one name; see work help", action.Do)
	case action.Do == "submit":
		order, err := peers.ReadOrder(flags.Arg(1))
		if err != nil {
			return err
		}
		action.Order = &order
	default:
		action.Name = flags.Arg(1)
	}
	if *admin == "" {
		return errors.New("work: --admin or NODE_ADMIN: not set")
	}
	if action.ID == "" {
		action.ID = fmt.Sprintf("%x", rand.Uint64())
		if action.Do != "status" {
			fmt.Fprintf(out, "id %s\n", action.ID)
		}
	}
	line, err := json.Marshal(action)
	if err != nil {
		return err
	}
	conn, err := net.DialTimeout("tcp", *admin, workTimeout)
	if err != nil {
		return fmt.Errorf("work: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(workTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "WORK %s\n", line); err != nil {
		return fmt.Errorf("work: %w", err)
	}
	raw, err := io.ReadAll(conn)
	answer := string(raw)
	switch {
	case strings.HasPrefix(answer, "-ERR "):
		return errors.New(strings.TrimSpace(strings.TrimPrefix(answer, "-ERR ")))
	case !strings.HasPrefix(answer, "+OK"):
		return fmt.Errorf("work: no whole answer (%v); ask again with --id %s", err, action.ID)
	}
	answer = strings.TrimPrefix(strings.TrimPrefix(answer, "+OK"), "\n")
	fmt.Fprint(out, strings.TrimSuffix(answer, ".\n"))
	return nil
}
