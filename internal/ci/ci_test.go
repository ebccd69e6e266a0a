// Package ci tests the scripts of continuous integration.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The script that runs the tests passes over those that KNOWN-RED.txt lists and over no others, and holds the list to
// what it says. It is played on a small module of its own.
func TestKnownRedTestsArePassedOver(t *testing.T) {
	script, err := filepath.Abs("../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	const (
		good   = "func TestGood(t *testing.T) {}\n"
		faulty = "func TestFaulty(t *testing.T) { t.Run(\"part\", func(t *testing.T) { t.Error(\"as ever\") }) }\n"
		other  = "func TestOther(t *testing.T) { t.Error(\"new\") }\n"
		listed = "TestFaulty | it can't | issue 3\n"
	)
	for _, c := range []struct {
		name, tests, red string
		passes           bool
	}{
		{"all good, no list", good, "", true},
		{"a failure, no list", good + faulty, "", false},
		{"a listed failure", good + faulty, listed, true},
		{"a listed failure and another", good + faulty + other, listed, false},
		{"a listed test that passes", good + faulty, listed + "TestGood | it can't | issue 3\n", false},
		{"a listed test that is not there", good + faulty, listed + "TestGone | it can't | issue 3\n", false},
		{"a line without a cause", good + faulty, "TestFaulty\n", false},
		{"a pattern for a test", good + faulty, "Test.* | it can't | issue 3\n", false},
		{"four tests", good + faulty, strings.Repeat(listed, 4), false},
		{"an empty list", good, "\n", false},
	} {
		dir := t.TempDir()
		files := map[string]string{"go.mod": "module small\n\ngo 1.24\n",
			"small_test.go": "package small\n\nimport \"testing\"\n\n" + c.tests}
		if c.red != "" {
			files["KNOWN-RED.txt"] = c.red
		}
		for name, text := range files {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		cmd := exec.Command("bash", script)
		cmd.Dir = dir
		said, err := cmd.CombinedOutput()
		if passed := err == nil; passed != c.passes {
			t.Errorf("%s: passed %v, %v\n%s", c.name, passed, err, said)
		}
		if c.passes && c.red != "" && !strings.Contains(string(said), "known red: TestFaulty: it can't (issue 3)") {
			t.Errorf("%s: it said %s", c.name, said)
		}
	}
}
