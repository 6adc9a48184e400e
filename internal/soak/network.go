package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// network is 256 loopback addresses that belong to one run for as long as it lasts: processes, servers and
// the list service listen there and nowhere else, so that runs beside each other never meet.
type network struct {
	prefix string
	held   net.Listener // keeps other runs away, of this process and of others
}

// Hosts of a network. Processes have the numbers from 1 on.
const (
	holdHost      = 250
	discoveryHost = 251
	serverHost    = 252
	mostProcesses = holdHost - 1
)

// holdPort is what a run listens on to hold its network.
const holdPort = 8080

// networks is how many networks there are to choose from.
const networks = 200 * 250

// takeNetwork takes a network that no run has. Where the search begins hangs on the seed and the process.
func takeNetwork(seed uint64) (*network, error) {
	for i := range uint64(networks) {
		n := (seed + i*257 + uint64(os.Getpid())*31) % networks
		prefix := fmt.Sprintf("127.%d.%d", 20+n%200, n/200)
		held, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, holdHost, holdPort))
		if err == nil {
			return &network{prefix: prefix, held: held}, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// host is an address of the network.
func (n *network) host(number int) string { return fmt.Sprintf("%s.%d", n.prefix, number) }

// listen opens a listener on an address of the network, at a port that the system chooses.
func (n *network) listen(host int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(n.host(host), "0"))
}

// release gives the network back.
func (n *network) release() error { return n.held.Close() }
