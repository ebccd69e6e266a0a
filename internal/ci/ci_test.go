// Package ci tests the scripts that continuous integration runs.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The script .ci/tests must tolerate failures of the tests that KNOWN-RED.txt lists, and of no others. It must also
// fail if the list is malformed or outdated. Each case runs the script in a small module of its own.
func TestScriptToleratesOnlyListedFailures(t *testing.T) {
	script, err := filepath.Abs("../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	const (
		passing      = "func TestPassing(t *testing.T) {}\n"
		failing      = "func TestFailing(t *testing.T) { t.Run(\"part\", func(t *testing.T) { t.Error(\"known\") }) }\n"
		otherFailing = "func TestOther(t *testing.T) { t.Error(\"new\") }\n"
		listEntry    = "TestFailing | can't connect | issue 3\n"
	)
	for _, testCase := range []struct {
		name, tests, knownRed string
		passes                bool // whether the script must succeed
	}{
		{"all tests pass, no list", passing, "", true},
		{"a failure, no list", passing + failing, "", false},
		{"a listed failure", passing + failing, listEntry, true},
		{"a listed failure and another", passing + failing + otherFailing, listEntry, false},
		{"a listed test that passes", passing + failing, listEntry + "TestPassing | can't connect | issue 3\n", false},
		{"a listed test that does not exist", passing + failing,
			listEntry + "TestMissing | can't connect | issue 3\n", false},
		{"a line without a cause", passing + failing, "TestFailing\n", false},
		{"a pattern instead of a test name", passing + failing, "Test.* | can't connect | issue 3\n", false},
		{"four tests", passing + failing, strings.Repeat(listEntry, 4), false},
		{"an empty list", passing, "\n", false},
	} {
		dir := t.TempDir()
		files := map[string]string{"go.mod": "module small\n\ngo 1.24\n",
			"small_test.go": "package small\n\nimport \"testing\"\n\n" + testCase.tests}
		if testCase.knownRed != "" {
			files["KNOWN-RED.txt"] = testCase.knownRed
		}
		for name, text := range files {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		cmd := exec.Command("bash", script)
		cmd.Dir = dir
		output, err := cmd.CombinedOutput()
		if passed := err == nil; passed != testCase.passes {
			t.Errorf("%s: script passed: %v (%v)\n%s", testCase.name, passed, err, output)
		}
		if testCase.passes && testCase.knownRed != "" &&
			!strings.Contains(string(output), "known red: TestFailing: can't connect (issue 3)") {
			t.Errorf("%s: the listed test is not printed in the output: %s", testCase.name, output)
		}
	}
}
