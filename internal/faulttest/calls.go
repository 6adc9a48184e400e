package faulttest

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
	"time"
)

// submit is "submit o1 at n0,n1 most 1 keep 0.4 machines m0,m1": staff's order.
func (h *harness) submit(f []string) error {
	if len(f) != 10 && len(f) != 12 {
		return errors.New("want: submit ORDER at PROXIES most N keep PART machines|proxies IDS [out-for TIME]")
	}
	outFor := time.Duration(0)
	if len(f) == 12 {
		var err error
		if outFor, err = time.ParseDuration(f[11]); err != nil {
			return err
		}
	}
	order := fmt.Sprintf(`{"id":%q,"most":%s,"keep":%s,%q:["%s"],"out-for":%d}`, f[1], f[5], f[7], f[8],
		strings.ReplaceAll(f[9], ",", `","`), outFor)
	id := "submit-" + f[1]
	return h.operate(id, fmt.Sprintf(`{"id":%q,"do":"submit","order":%s}`, id, order), f[3])
}

// call is "call c1 pause o1 at n0": any other operators' call.
func (h *harness) call(f []string) error {
	if len(f) != 6 {
		return errors.New("want: call ID VERB NAME at PROXIES")
	}
	return h.operate(f[1], fmt.Sprintf(`{"id":%q,"do":%q,"name":%q}`, f[1], f[2], f[3]), f[5])
}

// operate makes an operators' call at some proxies at once, each until it is answered.
func (h *harness) operate(id, line, at string) error {
	for _, name := range strings.Split(at, ",") {
		p, err := h.proc(name)
		if err != nil {
			return err
		}
		h.tasks.Add(1)
		go func() {
			defer h.tasks.Done()
			h.repeatCall(p, id, line)
		}()
	}
	return nil
}

// repeatCall makes a call at one proxy until it is answered, or the step's time is over.
func (h *harness) repeatCall(p *Proc, id, line string) {
	for end := time.Now().Add(h.scenario.Patient); time.Now().Before(end); {
		_, err := p.Call("WORK " + line)
		if no, told := err.(turnedDown); err != nil && (!told || no.open()) {
			time.Sleep(pollEvery)
			continue
		}
		h.logf("call %s at %s: %v", id, p.Name, err)
		h.noteCall(id, err)
		return
	}
}

// noteCall notes what came of a call. That it was carried out at one proxy and not at another is a fault.
func (h *harness) noteCall(id string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if was, ok := h.calls[id]; ok && (was == nil) != (err == nil) {
		h.judge.Fault = cmp.Or(h.judge.Fault, fmt.Errorf("call %s gave %v and %v", id, was, err))
	}
	h.calls[id] = err
}
