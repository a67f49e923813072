package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ternbeam/deploy"
	"ternbeam/internal/lab/standin"
)

// Checks that errors in a configuration are reported by line and key, and that the classes of a Thrift service are compared with the settings.
func TestCheck(t *testing.T) {
	good := strings.ReplaceAll(string(standin.Platform{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"}.Config()), `,"`, ",\n\"")
	for name, c := range map[string]struct {
		file, text string
		want       []string
	}{
		"good":           {"a.json", good, []string{"a.json: good"}},
		"broken":         {"a.json", strings.Replace(good, `"limits":`, `"limits"`, 1), []string{"a.json: line ", "invalid character"}},
		"type":           {"a.json", strings.Replace(good, `"sockets":1024`, `"sockets":"many"`, 1), []string{"limits.sockets", "line "}},
		"settings type":  {"a.json", strings.Replace(good, `"MostHeld":1000`, `"MostHeld":"x"`, 1), []string{"settings.Ceilings.MostHeld", "line "}},
		"unknown effect": {"a.json", strings.Replace(good, `"by_key"`, `"by_luck"`, 1), []string{"settings.Classes.1.Effect", `"by_luck"`}},
		"probes":         {"a.json", strings.Replace(good, `"MayCancel"`, `"Probes":true,"MayCancel"`, 1), []string{"settings.Ceilings.Probes"}},
		"no settings":    {"a.json", `{"listen":"a:1"}`, []string{"settings"}},
		"service":        {"b.toml", deploy.Thrift, []string{"b.toml: good"}},
		"service, bad":   {"b.toml", strings.Replace(deploy.Thrift, "max_depth = 32", "max_depth = 0", 1), []string{"b.toml: line 13: max_depth"}},
		"nothing there":  {"c.json", "", []string{"c.json: "}},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), c.file)
			if c.text != "" {
				if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out strings.Builder
			err := check([]string{path}, &out)
			if ok := strings.Contains(c.want[0], ": good"); ok != (err == nil) {
				t.Errorf("error %v", err)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no %q in %s", want, out.String())
				}
			}
		})
	}
}

// Checks that the reported line is the one with the error, also inside the settings.
func TestCheckReportsTheLineOfAnError(t *testing.T) {
	good := strings.ReplaceAll(string(standin.Platform{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"}.Config()), `,"`, ",\n\"")
	for _, c := range []struct{ old, new string }{{`"MostHeld":1000`, `"MostHeld":"x"`}, {`"by_key"`, `"by_luck"`},
		{`"sockets":1024`, `"sockets":"x"`}} {
		text := strings.Replace(good, c.old, c.new, 1)
		line := 1 + strings.Count(text[:strings.Index(text, c.new)], "\n")
		path := filepath.Join(t.TempDir(), "a.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if check([]string{path}, &out) == nil || !strings.Contains(out.String(), fmt.Sprintf("line %d: ", line)) {
			t.Errorf("%s is in line %d: %s", c.new, line, out.String())
		}
	}
}

func TestCheckComparesServiceClassesWithSettings(t *testing.T) {
	dir := t.TempDir()
	cfg, service := filepath.Join(dir, "a.json"), filepath.Join(dir, "b.toml")
	text := strings.Replace(string(standin.Platform{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"}.Config()), `"pay-out"`, `"pay"`, 1)
	for path, text := range map[string]string{cfg: text, service: deploy.Thrift} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if check([]string{service, cfg}, &out) == nil || !strings.Contains(out.String(), `methods.payOut.class: the settings know no class "pay-out"`) {
		t.Error(out.String())
	}
}
