// Command standins plays the cases of the review: it starts the project's
// programs as processes on loopback addresses, with stand-ins for the platform,
// the searchers, the operator and the clients, and writes what was seen.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is a small deployment on loopback.
type rig struct {
	start   time.Time
	binary  string
	dir     string
	trouble bool

	// Ports are the same on all machines, as the pages say.
	internalPort, controlPort, frontPort, readyPort, metricsPort int
	subnet                                                       string
	platformAddr                                                 string

	// settings are put into every machine's settings file.
	heartbeatMs int
	bounds      map[string]any
	contracts   []string
	tolerated   int
	memoryMb    map[string]int
	// descriptors are limits by role; those without one have 4,096.
	descriptors map[string]uint64
	deployment  string

	recordMu sync.Mutex
	record   *os.File

	mu        sync.Mutex
	nodes     map[string]*process
	instances []instance
	runs      []searcherRun
	nextID    int

	// cutter cuts off the machine behind it, if there is one.
	cutter *cutter
}

// process is one machine with its process.
type process struct {
	name, ip, role, zone string
	seeds                []string
	// internalPort is another than the rig's where the machine is behind proxies.
	internalPort int
	command      *exec.Cmd
	done         chan struct{}
}

// instance is an entry of the platform's list.
type instance struct {
	InstanceID      string  `json:"InstanceId"`
	Service         string  `json:"Service"`
	Address         string  `json:"Address"`
	Zone            string  `json:"Zone"`
	Version         string  `json:"Version"`
	Slots           int     `json:"Slots"`
	State           string  `json:"State"`
	ColdRemainingMs float64 `json:"ColdRemainingMs"`
}

// searcherRun is a request that a searcher has begun to work on.
type searcherRun struct {
	at                                            time.Duration
	searcher, service, id, method, target, tenant string
	body                                          string
}

// current is the deployment of the case that runs.
var current atomic.Pointer[rig]

// newRig makes a deployment without machines. The record is written to path.
func newRig(path string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	r := &rig{
		start:       time.Now(),
		binary:      filepath.Join(root, "target", "swiftswitch"),
		dir:         dir,
		trouble:     os.Getenv("TROUBLE") != "0",
		subnet:      fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, os.Getpid()/200%250+1),
		heartbeatMs: 1200,
		bounds: map[string]any{
			"SeedLagS": 3, "AddressReuseS": 2, "InTouchMs": 4000, "AcknowledgeMs": 5000, "CatchUpS": 4,
			"DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200, "ConfigEffectMs": 3000, "RollbackSlackMs": 250,
			"OuterStretchMs": 12000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetryBudgetSlack": 58, "RecoveryS": 12,
		},
		contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "scatter"},
		tolerated: 1,
		memoryMb:  map[string]int{"front": 284, "control": 280, "cache": 536},
		record:    record,
		nodes:     map[string]*process{},
	}
	if _, err := os.Stat(r.binary); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	// All are held until the last is found, so that no two are the same.
	for _, port := range []*int{&r.internalPort, &r.controlPort, &r.frontPort, &r.readyPort, &r.metricsPort} {
		listener, err := net.Listen("tcp4", r.subnet+"250:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	current.Store(r)
	return r, r.startPlatform()
}

// now is the time since the start of the case.
func (r *rig) now() time.Duration { return time.Since(r.start) }

// note writes a line of the record.
func (r *rig) note(format string, arguments ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%9.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, arguments...))
}

func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// startPlatform serves the list of searchers.
func (r *rig) startPlatform() error {
	listener, err := net.Listen("tcp4", r.subnet+"240:0")
	if err != nil {
		return err
	}
	r.platformAddr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/instances", func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		list := append([]instance{}, r.instances...)
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Instances": list, "NextPageToken": nil})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

// setState changes how the platform lists a searcher; an empty state takes it
// off the list.
func (r *rig) setState(id, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.instances {
		if r.instances[i].InstanceID != id {
			continue
		}
		if state == "" {
			r.instances = append(r.instances[:i:i], r.instances[i+1:]...)
		} else {
			r.instances[i].State = state
		}
		return
	}
}

// add describes a machine; startNode starts its process.
func (r *rig) add(name, role, zone string, number int) {
	r.nodes[name] = &process{name: name, ip: r.subnet + strconv.Itoa(number), role: role, zone: zone}
}

// settingsOf is the settings file of a machine. JSON is YAML, too.
func (r *rig) settingsOf(p *process, firstStart bool) map[string]any {
	listen := map[string]any{}
	serves := []string{}
	var data any
	switch p.role {
	case "front":
		serves = append(serves, "front")
		listen["FrontAddress"] = fmt.Sprintf("%s:%d", p.ip, r.frontPort)
		listen["ReadinessAddress"] = fmt.Sprintf("%s:%d", p.ip, r.readyPort)
	case "control":
		serves = append(serves, "control")
		listen["ControlAddress"] = fmt.Sprintf("%s:%d", p.ip, r.controlPort)
		data = filepath.Join(r.dir, p.name, "data")
	case "cache":
		data = filepath.Join(r.dir, p.name, "data")
	}
	internalPort := r.internalPort
	if p.internalPort != 0 {
		internalPort = p.internalPort
	}
	descriptors := uint64(4096)
	if limit, limited := r.descriptors[p.role]; limited {
		descriptors = limit
	}
	return map[string]any{
		"NodeName": p.name, "Role": p.role, "MachineClass": p.role, "Serves": serves, "IpAddress": p.ip,
		"Zone": p.zone, "Region": "here", "Zones": map[string]string{"north": "here", "south": "here", "east": "here"},
		"ListenAddresses": listen, "InternalPortRange": []int{internalPort, internalPort + 1},
		"SeedNodes": p.seeds, "FirstStart": firstStart, "LossCounted": p.role == "control",
		"Limits":        map[string]any{"CpuShare": 0.96, "CpuCores": 1, "MemoryMb": r.memoryMb[p.role], "FileDescriptors": descriptors, "LinkSpeedMbps": 1000.0, "DiskMb": 128},
		"DataDirectory": data, "Discovery": "cloud_api", "EntryKind": "virtual_ip", "HeartbeatIntervalMs": r.heartbeatMs,
		"ActiveContracts": r.contracts, "ToleratedLosses": map[string]int{"Machines": r.tolerated, "Zones": 0, "Regions": 0},
		"Bounds": r.bounds, "Deployment": r.deployment,
		"CloudApi": map[string]any{"Address": r.platformAddr, "RequestsPerS": 47.0, "Duties": []string{}, "LagMs": 800},
	}
}

// startNode starts the process of a machine, with the command of the deploy file.
func (r *rig) startNode(name string, firstStart bool) error {
	p := r.nodes[name]
	path := filepath.Join(r.dir, name+".yaml")
	raw, err := json.Marshal(r.settingsOf(p, firstStart))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(r.binary, "run", p.role, "--metrics-port", strconv.Itoa(r.metricsPort))
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C", "SWIFTSWITCH_SETTINGS=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	if limit, limited := r.descriptors[p.role]; limited {
		if err := limitDescriptors(p.command.Process.Pid, limit); err != nil {
			return err
		}
	}
	r.note("start %s (%s)", name, p.ip)
	done := make(chan struct{})
	p.done = done
	command := p.command
	go func() {
		err := command.Wait()
		r.note("process of %s ended: %v", name, err)
		_ = log.Close()
		close(done)
	}()
	return nil
}

// signal sends a machine's process a signal.
func (r *rig) signal(name string, signal syscall.Signal) {
	r.note("signal %v to %s", signal, name)
	_ = r.nodes[name].command.Process.Signal(signal)
}

// kill ends a machine's process at once and waits for it.
func (r *rig) kill(name string) {
	r.signal(name, syscall.SIGKILL)
	<-r.nodes[name].done
}

// close ends everything that was started.
func (r *rig) close() {
	for _, p := range r.nodes {
		if p.command == nil {
			continue
		}
		select {
		case <-p.done:
		default:
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", r.dir)
		return
	}
	_ = os.RemoveAll(r.dir)
}

// startAll starts all machines for the first time, the control nodes as seeds.
func (r *rig) startAll(seeds ...string) error {
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, fmt.Sprintf("%s:%d", r.nodes[seed].ip, r.controlPort))
	}
	for name, p := range r.nodes {
		p.seeds = addresses
		if err := r.startNode(name, true); err != nil {
			return err
		}
	}
	return nil
}

// eventually waits until a condition holds.
func (r *rig) eventually(what string, timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not in time: %s", what)
}

// newRequestID draws an id that no other request of the case has.
func (r *rig) newRequestID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	return fmt.Sprintf("q%06d", r.nextID)
}

// runsOf lists the runs of a request.
func (r *rig) runsOf(id string) (runs []searcherRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.id == id {
			runs = append(runs, run)
		}
	}
	return runs
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Duration
	status int
	header http.Header
	body   []byte
	err    error
}

// ask sends one request on a new connection, as the pages' clients do.
func (r *rig) ask(front, method, host, target string, headers map[string]string, body []byte, timeout time.Duration) answer {
	return r.askWithID(r.newRequestID(), front, method, host, target, headers, body, timeout)
}

func (r *rig) askWithID(id, front, method, host, target string, headers map[string]string, body []byte, timeout time.Duration) answer {
	a := answer{id: id}
	address := net.JoinHostPort(r.nodes[front].ip, strconv.Itoa(r.frontPort))
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		a.sent, a.err = r.now(), err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Deadline-Milliseconds: %d\r\n", method, target, host, id, timeout.Milliseconds())
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if body != nil || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	a.sent = r.now()
	if _, a.err = conn.Write(b.Bytes()); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	return a
}

// operatorCall sends one call of the operator to a machine.
func (r *rig) operatorCall(name, method, path string, base int64, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	url := fmt.Sprintf("http://%s:%d%s", r.nodes[name].ip, r.controlPort, path)
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if method == http.MethodPut || method == http.MethodPatch {
		request.Header.Set("If-Match", strconv.FormatInt(base, 10))
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// put sends a configuration until it is acknowledged, to one machine after the
// other as an operator does, and returns when it was.
func (r *rig) put(base int64, configuration any, names ...string) (acknowledged time.Duration, err error) {
	body, err := json.Marshal(configuration)
	if err != nil {
		return 0, err
	}
	return r.putRaw(base, body, names...)
}

func (r *rig) putRaw(base int64, body []byte, names ...string) (acknowledged time.Duration, err error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, name := range names {
			status, answer, err := r.operatorCall(name, http.MethodPut, "/-/configuration", base, body, time.Second)
			r.note("operator PUT on %d to %s: status %d %s err %v", base, name, status, strings.TrimSpace(string(answer)), err)
			switch {
			case err == nil && status == http.StatusOK:
				return r.now(), nil
			case err == nil && (status == 400 || status == 409 || status == 412 || status == 413 || status == 422):
				return 0, fmt.Errorf("the configuration was refused with %d", status)
			}
		}
	}
	return 0, fmt.Errorf("the configuration was not acknowledged")
}

// readiness asks whether a front calls itself ready.
func (r *rig) readiness(name string) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", r.nodes[name].ip, r.readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// status reads a machine's status, for the record only.
func (r *rig) status(name string) string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/rope/status", r.nodes[name].ip, r.internalPort))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	return string(raw)
}
