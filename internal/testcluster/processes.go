package testcluster

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
)

const (
	// processGrace is how much longer than GraceS a process may take to end.
	processGrace = 4 * time.Second
	// binaryDir is the program's package, from the directory of a test of
	// internal/node.
	binaryDir = "../../cmd/swiftswitch"
)

// Processes runs the nodes of a cluster as processes of their own, so that they
// can be sent signals. It is safe for concurrent use.
type Processes struct {
	*Cluster
	binary string
	dir    string

	mu      sync.Mutex
	running map[int]*process
}

// process is a node's process. exited is closed once it has ended, and failure
// says how.
type process struct {
	*exec.Cmd
	exited  chan struct{}
	failure error
	// logStart is how long the node's log was when the process started.
	logStart int64
}

// NewProcesses builds the program. The processes end with the test.
func NewProcesses(t *testing.T, c *Cluster) *Processes {
	t.Helper()
	p := &Processes{Cluster: c, dir: t.TempDir(), running: map[int]*process{}}
	p.binary = filepath.Join(p.dir, "swiftswitch")
	if out, err := exec.Command("go", "build", "-tags=stdjson", "-o", p.binary, binaryDir).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, command := range p.running {
			_ = command.Process.Kill()
			<-command.exited
		}
	})
	return p
}

// settingsPath is the settings file of node n.
func (p *Processes) settingsPath(n int) string {
	return filepath.Join(p.dir, fmt.Sprintf("%d.yaml", n))
}

// logPath is the log of node n, of all its runs.
func (p *Processes) logPath(n int) string {
	return filepath.Join(p.dir, fmt.Sprintf("%d.log", n))
}

// EndedByItself reports whether the process of node n has ended though End was
// not called for it.
func (p *Processes) EndedByItself(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := p.running[n]
	return command != nil && command.hasExited()
}

// LastLog returns the end of the log of node n, and how its process ended if
// nobody ended it.
func (p *Processes) LastLog(n int) string {
	const lastBytes = 4 << 10
	raw, _ := os.ReadFile(p.logPath(n))
	log := string(raw[max(0, len(raw)-lastBytes):])
	p.mu.Lock()
	defer p.mu.Unlock()
	if command := p.running[n]; command != nil && command.hasExited() {
		log += fmt.Sprint("ended: ", command.failure)
	}
	return log
}

// writeSettings replaces the settings file of node n at once, since its process
// may just be starting. JSON is YAML, too.
func (p *Processes) writeSettings(n int, firstStart bool, seeds []int) {
	raw, err := protojson.Marshal(p.Settings(n, firstStart, seeds...))
	if err != nil {
		p.T.Error(err)
		return
	}
	written := p.settingsPath(n) + ".new"
	if err := os.WriteFile(written, raw, 0o600); err != nil {
		p.T.Error(err)
		return
	}
	if err := os.Rename(written, p.settingsPath(n)); err != nil {
		p.T.Error(err)
	}
}

// StartProcess starts node n.
func (p *Processes) StartProcess(n int, firstStart bool, seeds ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeSettings(n, firstStart, seeds)
	arguments := []string{"run", "--settings", p.settingsPath(n)}
	if p.MetricsPort > 0 {
		arguments = append(arguments, "--metrics-port", strconv.Itoa(p.MetricsPort))
	}
	command := exec.Command(p.binary, arguments...)
	log, err := os.OpenFile(p.logPath(n), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.T.Errorf("the log of node %d: %v", n, err)
		return
	}
	defer func() { _ = log.Close() }()
	logStart, _ := log.Seek(0, io.SeekEnd)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		p.T.Errorf("node %d does not start: %v", n, err)
		return
	}
	started := &process{Cmd: command, exited: make(chan struct{}), logStart: logStart}
	p.running[n] = started
	go func() {
		started.failure = command.Wait()
		close(started.exited)
	}()
}

// Count returns how many processes run.
func (p *Processes) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.running)
}

// Signal sends node n a signal.
func (p *Processes) Signal(n int, signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if command := p.running[n]; command != nil {
		_ = command.Process.Signal(signal)
	}
}

// Usage is what a process takes of its machine.
type Usage struct {
	// PeakMemoryMb is the greatest resident size that the process ever had.
	PeakMemoryMb float64
	// Descriptors is how many are open now.
	Descriptors int
}

// Usage returns what the process of node n takes; ok is false if it is gone.
func (p *Processes) Usage(n int) (usage Usage, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := p.running[n]
	if command == nil || command.hasExited() {
		return Usage{}, false
	}
	// A process that has just started may not show all of it yet.
	proc := filepath.Join("/proc", strconv.Itoa(command.Process.Pid))
	status, _ := os.ReadFile(filepath.Join(proc, "status"))
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes float64
	_, _ = fmt.Sscan(peak, &kilobytes)
	descriptors, _ := os.ReadDir(filepath.Join(proc, "fd"))
	return Usage{PeakMemoryMb: kilobytes / 1024, Descriptors: len(descriptors)}, true
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// awaitStarted waits until the process of node n has logged something: before, it
// may not catch signals yet, and SIGHUP would end it.
func (p *Processes) awaitStarted(n int) {
	p.mu.Lock()
	command := p.running[n]
	p.mu.Unlock()
	for end := time.Now().Add(eventuallyTimeout); command != nil && time.Now().Before(end); time.Sleep(eventuallyInterval) {
		if info, err := os.Stat(p.logPath(n)); err == nil && info.Size() > command.logStart {
			return
		}
	}
}

// Reload writes the settings of node n anew, with other seeds, and sends SIGHUP.
func (p *Processes) Reload(n int, seeds ...int) {
	p.awaitStarted(n)
	p.mu.Lock()
	p.writeSettings(n, false, seeds)
	p.mu.Unlock()
	p.Signal(n, syscall.SIGHUP)
}

// End sends node n a signal that ends it, and waits until it is gone. One that
// outlives GraceS by far is an error.
func (p *Processes) End(n int, signal syscall.Signal) {
	p.mu.Lock()
	command := p.running[n]
	delete(p.running, n)
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	late := time.AfterFunc(p.scaled(time.Second)+processGrace, func() {
		p.T.Errorf("node %d still runs after its grace", n)
		_ = command.Process.Kill()
	})
	<-command.exited
	late.Stop()
}
