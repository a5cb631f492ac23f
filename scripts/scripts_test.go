package scripts

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"greengagedyke/standin/block"
)

// awaitTimeout is how long the script command await repeats a command before the script fails.
const awaitTimeout = 20 * time.Second

// TestScripts runs each script in testdata/script. A script finds the built programs in its PATH, and in
// $B the first two bytes of a block of loopback addresses that no other script uses. In addition to the
// commands of testscript, a script may use await, put, signal and pause, which are explained below.
func TestScripts(t *testing.T) {
	trackSources(t)
	bin := t.TempDir()
	for _, name := range []string{"greengagedyke", "standins"} {
		build := exec.Command("go", "build", "-o", filepath.Join(bin, name), "greengagedyke/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("building %s: %v\n%s", name, err, out)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			addressBlock, release, err := block.Reserve()
			if err != nil {
				return err
			}
			env.Defer(release)
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("B", fmt.Sprintf("127.%d", addressBlock))
			env.Setenv("GREENGAGEDYKE_TOKEN", "script-token")
			return writeSettings(env, fmt.Sprintf("127.%d", addressBlock))
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"await":  await,
			"put":    put,
			"signal": sendSignal,
			"pause":  pause,
		},
	})
}

// trackSources reads the sources of the programs. go test then records them as inputs of this test
// and does not reuse a cached result after they have changed.
func trackSources(t *testing.T) {
	t.Helper()
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	nested, err := filepath.Glob("../*/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range append(files, nested...) {
		if _, err := os.ReadFile(f); err != nil {
			t.Fatal(err)
		}
	}
}

// await implements "await TEXT PROGRAM ARGS...": it repeats a command until the command succeeds
// and its output contains TEXT, and fails the script after awaitTimeout.
func await(ts *testscript.TestScript, _ bool, args []string) {
	want := args[0]
	var out []byte
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		cmd := exec.Command(filepath.Join(binDir(ts), args[1]), args[2:]...)
		cmd.Env = append(os.Environ(), "GREENGAGEDYKE_TOKEN="+ts.Getenv("GREENGAGEDYKE_TOKEN"))
		cmd.Dir = ts.Getenv("WORK")
		var err error
		out, err = cmd.CombinedOutput()
		if err == nil && strings.Contains(string(out), want) {
			return
		}
	}
	ts.Fatalf("%q did not appear in time, last output: %s", want, out)
}

// binDir returns the directory of the built programs, which is the first one in the script's PATH.
func binDir(ts *testscript.TestScript) string {
	first, _, _ := strings.Cut(ts.Getenv("PATH"), string(os.PathListSeparator))
	return first
}

// put implements "put URL BODY": it sends an HTTP PUT and fails the script unless the status is 200.
func put(ts *testscript.TestScript, _ bool, args []string) {
	request, err := http.NewRequest(http.MethodPut, args[0], bytes.NewBufferString(args[1]))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("put %s: %s", args[0], response.Status)
	}
}

// sendSignal implements "signal NAME TEXT": it sends a signal to the first background process whose
// command line contains TEXT.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	for _, cmd := range ts.BackgroundCmds() {
		if strings.Contains(strings.Join(cmd.Args, " "), args[1]) {
			ts.Check(cmd.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background process with %q in its command line", args[1])
}

// pause implements "pause DURATION": it waits for a duration such as 1500ms.
func pause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// writeSettings writes the settings files of three balancers, three sidecars of rota-core and one
// sidecar of sheet-render, and the declarations of both services. network is the first two bytes of the
// script's addresses, such as "127.5".
func writeSettings(env *testscript.Env, network string) error {
	files := map[string]string{}
	for i := 1; i <= 3; i++ {
		files[fmt.Sprintf("balancer-%d.json", i)] = fmt.Sprintf(`{
	// balancer %[1]d
	"identity": "balancer-%[1]d",
	"failure-domain": "tx-central-a",
	"secret": "00112233445566778899aabbccddeeff",
	"api-token": "script-token",
	"tunnel-address": "%[2]s.1.%[1]d:7000",
	"control-address": "%[2]s.1.%[1]d:7001",
	"api-address": "%[2]s.1.%[1]d:7002",
	"service-ip": "%[2]s.1.%[1]d",
	"store-address": "%[2]s.0.1:9000",
	"peers": ["%[2]s.1.1:7001", "%[2]s.1.2:7001"],
}`, i, network)
	}
	for i, svc := range []string{"rota-core", "rota-core", "rota-core", "sheet-render"} {
		files[fmt.Sprintf("sidecar-%d.json", i+1)] = sidecarSettings(network, i+1, svc, "")
		// The settings of the same sidecar for scripts in which its siblings reach it through a proxy.
		files[fmt.Sprintf("proxied-%d.json", i+1)] = sidecarSettings(network, i+1, svc,
			fmt.Sprintf(`"sibling-public-address": "%s.5.%d:7001",`, network, i+1))
	}
	for i, svc := range []string{"rota-core", "sheet-render"} {
		files["declarations/"+svc+".json"] = declaration(network, i+1, svc)
	}
	for name, text := range files {
		path := filepath.Join(env.WorkDir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// sidecarSettings returns the settings of the i-th sidecar, counted from 1. extra holds further JSON
// members, each followed by a comma.
func sidecarSettings(network string, i int, svc, extra string) string {
	return fmt.Sprintf(`{
	"identity": "sidecar-%[1]d",
	"failure-domain": "tx-central-a",
	"secret": "00112233445566778899aabbccddeeff",
	"service": "%[3]s",
	"tunnel-address": "%[2]s.2.%[1]d:7000",
	"sibling-address": "%[2]s.2.%[1]d:7001",
	"upstream-address": "%[2]s.3.%[1]d:8000",
	"slots": 2,
	"balancers": ["%[2]s.1.1:7001", "%[2]s.1.2:7001"],
	"certificate-file": "certificate.pem",
	"key-file": "key.pem",
	%[4]s
}`, i, network, svc, extra)
}

// declaration returns the declaration of the i-th service, counted from 1.
func declaration(network string, i int, svc string) string {
	return fmt.Sprintf(`{
	"name": "%[1]s",
	"address": "%[2]s.10.%[3]d:443%[3]d",
	"routes": [
		{"method": "GET", "path-prefix": "/feed", "class": "flow"},
		{"method": "POST", "path-prefix": "/swap", "class": "non-idempotent", "deadline": "5s"},
		{"method": "GET", "path-prefix": "/short", "class": "idempotent", "priority": 1, "deadline": "5s"},
		{"method": "GET", "path-prefix": "/download", "class": "idempotent", "long": true, "priority": 2, "deadline": "20s"},
	],
}`, svc, network, i)
}
