package frontdoor

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// fullListJSON returns a full list of count backends as discovery sends it.
func fullListJSON(t *testing.T, count int) string {
	t.Helper()
	list := EndpointList{Version: 9, Full: true}
	for i := range count {
		list.Endpoints = append(list.Endpoints, Endpoint{Host: fmt.Sprintf("s-%08x", i),
			Address: fmt.Sprintf("10.1.%d.%d:8443", i/250, i%250),
			Zone:    fmt.Sprintf("zone-%d", i%24), MachineType: "std-2core", Cell: i, State: "Ready", Weight: 1})
	}
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A list of 51,000 backends must be accepted. Reading it must allocate little besides its entries: the allocated bytes
// grow in proportion to the entries, and the text of the full list is never held in memory.
func TestLongestPlannedListIsAccepted(t *testing.T) {
	read := func(count int) (allocated float64) {
		text := fullListJSON(t, count)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		list, err := newListReader(strings.NewReader(text)).next()
		runtime.ReadMemStats(&after)
		if err != nil || len(list.Endpoints) != count || list.Version != 9 || !list.Full ||
			list.Endpoints[count-1].Cell != count-1 {
			t.Fatalf("list of %d entries: got %d and error %v, want all of them", count, len(list.Endpoints), err)
		}
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	few, many := read(5_100), read(51_000)
	if many > 12*few || many > 48<<20 {
		t.Errorf("got %.1f MB allocated for 51,000 entries and %.1f MB for 5,100, want at most 48 MB, a factor of 12",
			many/(1<<20), few/(1<<20))
	}
}

// listReader, which reads lists entry by entry, must accept what encoding/json accepts, with the same result.
func TestListReaderMatchesEncodingJSON(t *testing.T) {
	for _, text := range []string{`{}`, `{"seq":3}`, `{"whole":true,"hosts":[],"seq":-4}`, `{"hosts":null,"seq":7}`,
		`{"new":{"deep":[1,{}]},"Seq":5,"HOSTS":[{"host":"a","new":1},{"host":"b","share":0.5}],"whole":false}`,
		`{"hosts":[{"host":"a"}],"hosts":[{"host":"b"}],"seq":1,"seq":2}`, fullListJSON(t, 300)} {
		var want EndpointList
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		lists := newListReader(strings.NewReader("\n" + text + "\n\n" + text + "\n"))
		for range 2 {
			got, err := lists.next()
			if err != nil || got.Version != want.Version || got.Full != want.Full ||
				len(got.Endpoints) != len(want.Endpoints) ||
				len(got.Endpoints) > 0 && !reflect.DeepEqual(got.Endpoints, want.Endpoints) {
				t.Errorf("%.60q: got %.200q and error %v, want the result of encoding/json", text, fmt.Sprint(got), err)
			}
		}
		if _, err := lists.next(); err != io.EOF {
			t.Errorf("after the last list: got error %v, want EOF", err)
		}
	}
}

// An invalid list must be rejected completely, with an error that names the invalid entry.
func TestInvalidListErrorNamesEntry(t *testing.T) {
	tooMany := `{"hosts":[{"host":"a"}` + strings.Repeat(`,{}`, maxEndpoints) + `]}`
	tooLong := `{"hosts":[{"host":"a"},{"host":"` + strings.Repeat("x", 2*maxEntryBytes) + `"}]}`
	for _, test := range []struct {
		name, text, wantMessage string
		wantErr                 error
	}{{"too many", tooMany, fmt.Sprintf("entry %d:", maxEndpoints+1), errTooManyEndpoints},
		{"too long", tooLong, "entry 2", errTooLarge},
		{"wrong type", `{"hosts":[{"host":"a"},{"host":"b","block":"no number"}]}`, `entry 2, "b"`, nil},
		{"truncated", `{"seq":1,"hosts":[{"host":"a"},{"host":"b"`, "entry 2", io.ErrUnexpectedEOF},
		{"not an object", `[1]`, "not a JSON object", errListNotObject},
		{"hosts not an array", `{"hosts":{"host":"a"}}`, "not an array", errEndpointsNotArray},
		{"endless field", `{"new":"` + strings.Repeat("x", 2*maxListBytes), "larger", errTooLarge}} {
		list, err := newListReader(strings.NewReader(test.text)).next()
		if err == nil || !strings.Contains(err.Error(), test.wantMessage) ||
			test.wantErr != nil && !errors.Is(err, test.wantErr) || len(list.Endpoints) != 0 {
			t.Errorf("%s: got %d entries and error %v, want no entries and the case's error", test.name,
				len(list.Endpoints), err)
		}
	}
}

// After Close a loop must drop timers instead of passing them to the gateway.
func TestClosedLoopDropsTimers(t *testing.T) {
	handler := newScriptedHandler(nil)
	loop := newLoop(clock{time.Now()}, handler, NewBackends(newTestConfig(t)))
	loop.post(gateway.Timer{Token: 1})
	if timer := nextEvent[gateway.Timer](t, handler); timer.Token != 1 {
		t.Errorf("got timer %d, want 1", timer.Token)
	}
	loop.Close()
	loop.post(gateway.Timer{Token: 2})
	if n := len(handler.received); n != 0 {
		t.Errorf("got %d more events after Close, want 0", n)
	}
}
