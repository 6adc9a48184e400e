package consensus

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	_ "runtime/cgo" // links the C library, which the fault layer needs
	"strings"
	"syscall"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"lilacglade/internal/faultlayer"
)

// dirVariable names the folder of a disk that this test binary is to use, under the fault layer.
const dirVariable = "AGREE_TEST_DIR"

func TestMain(m *testing.M) {
	if dir := os.Getenv(dirVariable); dir != "" {
		useDisk(dir)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// useDisk does what it is told by lines: write N, reopen, entries.
func useDisk(dir string) {
	d, err := OpenDisk(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%x\n", d.ID)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		var n uint64
		switch what := in.Text(); {
		case what == "reopen":
			if d != nil {
				_ = d.Close()
			}
			if d, err = ReopenDisk(dir); err != nil {
				d = nil
				fmt.Println("failed")
				continue
			}
			fmt.Printf("%x\n", d.ID)
		case what == "entries":
			fmt.Println(len(d.Saved.Entries))
		default:
			if _, err := fmt.Sscanf(what, "write %d", &n); err != nil {
				fmt.Println(err)
				continue
			}
			if err := d.Write(&Write{Entries: []*pb.Entry{entry(n)}}); err != nil {
				fmt.Println("failed")
				continue
			}
			fmt.Println("done")
		}
	}
}

// TestDiskThatFailsForAWhile holds that a disk whose writes or syncs fail is never set aside for it:
// identity and log are there once it works again, and what failed was never said to be kept.
func TestDiskThatFailsForAWhile(t *testing.T) {
	for _, rule := range []faultlayer.Rule{
		{Call: faultlayer.FileWrite, Action: faultlayer.Fail, Errno: syscall.ENOSPC},
		{Call: faultlayer.FileWrite, Action: faultlayer.Fail, Errno: syscall.EIO, Every: 2},
		{Call: faultlayer.FileSync, Action: faultlayer.Fail, Errno: syscall.EIO},
		{Call: faultlayer.FileSync, Action: faultlayer.Fail, Errno: syscall.EIO, Every: 2},
		{Call: faultlayer.FileWrite, Action: faultlayer.Short, Most: 100, Every: 3},
	} {
		dir := t.TempDir()
		library, err := faultlayer.Build(dir)
		if err != nil {
			t.Fatal(err)
		}
		layer, err := faultlayer.New(library, dir)
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(append(os.Environ(), dirVariable+"="+filepath.Join(dir, "disk")),
			layer.Env(faultlayer.FileWrite, faultlayer.FileSync)...)
		in, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewReader(out)
		hear := func() string {
			line, err := lines.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			return strings.TrimSpace(line)
		}
		tell := func(what string) string {
			fmt.Fprintln(in, what)
			return hear()
		}
		id := hear()
		if got := tell("write 1"); got != "done" {
			t.Fatalf("%+v: %s", rule, got)
		}
		slot, err := layer.Add(rule)
		if err != nil {
			t.Fatal(err)
		}
		kept := 1
		for n := 2; n <= 6; n++ {
			if tell(fmt.Sprint("write ", n)) == "done" {
				kept = n
				continue
			}
			tell("reopen")
			break
		}
		if hits := layer.Remove(slot); hits == 0 {
			t.Errorf("%+v: no call went wrong", rule)
		}
		if got := tell("reopen"); got != id {
			t.Errorf("%+v: identity %s, want %s", rule, got, id)
		}
		if got := tell("entries"); got != fmt.Sprint(kept) && got != fmt.Sprint(kept+1) {
			t.Errorf("%+v: %s entries, want the %d that were kept", rule, got, kept)
		}
		in.Close()
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
		if aside, _ := filepath.Glob(filepath.Join(dir, "disk", "*.damaged-*")); len(aside) > 0 {
			t.Errorf("%+v: set aside: %v", rule, aside)
		}
		if err := layer.Close(); err != nil {
			t.Error(err)
		}
	}
}
