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

// plannedList is a list of as many backends as are planned for, as discovery writes it.
func plannedList(t *testing.T, count int) string {
	t.Helper()
	list := EndpointList{Version: 9, Full: true}
	for i := range count {
		list.Endpoints = append(list.Endpoints, Endpoint{Host: fmt.Sprintf("s-%08x", i), Address: fmt.Sprintf("10.1.%d.%d:8443", i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%24), Kind: "std-2core", Cell: i, State: "Ready", Weight: 1})
	}
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A list of 51,000 backends passes, and reading it allocates little besides its entries: the allocated bytes grow with
// the entries, and no text of the whole list is held.
func TestTheLongestPlannedListPasses(t *testing.T) {
	read := func(count int) (allocated float64) {
		text := plannedList(t, count)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		list, err := newListReader(strings.NewReader(text)).next()
		runtime.ReadMemStats(&after)
		if err != nil || len(list.Endpoints) != count || list.Version != 9 || !list.Full || list.Endpoints[count-1].Cell != count-1 {
			t.Fatalf("%d entries: %d read, %v", count, len(list.Endpoints), err)
		}
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	few, many := read(5_100), read(51_000)
	if many > 12*few || many > 48<<20 {
		t.Errorf("%.1f MB allocated for 51,000 entries, %.1f MB for 5,100", many/(1<<20), few/(1<<20))
	}
}

// What reads lists entry by entry takes what encoding/json takes.
func TestListsAreReadAsJSON(t *testing.T) {
	for _, text := range []string{`{}`, `{"seq":3}`, `{"whole":true,"hosts":[],"seq":-4}`, `{"hosts":null,"seq":7}`,
		`{"new":{"deep":[1,{}]},"Seq":5,"HOSTS":[{"host":"a","new":1},{"host":"b","share":0.5}],"whole":false}`,
		`{"hosts":[{"host":"a"}],"hosts":[{"host":"b"}],"seq":1,"seq":2}`, plannedList(t, 300)} {
		var want EndpointList
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		lists := newListReader(strings.NewReader("\n" + text + "\n\n" + text + "\n"))
		for range 2 {
			got, err := lists.next()
			if err != nil || got.Version != want.Version || got.Full != want.Full || len(got.Endpoints) != len(want.Endpoints) ||
				len(got.Endpoints) > 0 && !reflect.DeepEqual(got.Endpoints, want.Endpoints) {
				t.Errorf("%.60q was read as %.200q, %v", text, fmt.Sprint(got), err)
			}
		}
		if _, err := lists.next(); err != io.EOF {
			t.Errorf("after the last list: %v", err)
		}
	}
}

// A list that is no good is refused whole, by an error that names the entry.
func TestBadListsNameTheEntry(t *testing.T) {
	many := `{"hosts":[{"host":"a"}` + strings.Repeat(`,{}`, maxEndpoints) + `]}`
	long := `{"hosts":[{"host":"a"},{"host":"` + strings.Repeat("x", 2*maxEntryBytes) + `"}]}`
	for _, c := range []struct {
		name, text, says string
		is               error
	}{{"too many", many, fmt.Sprintf("entry %d:", maxEndpoints+1), errTooManyEndpoints}, {"too long", long, "entry 2", errTooLarge},
		{"another type", `{"hosts":[{"host":"a"},{"host":"b","block":"no number"}]}`, `entry 2, "b"`, nil},
		{"cut", `{"seq":1,"hosts":[{"host":"a"},{"host":"b"`, "entry 2", io.ErrUnexpectedEOF},
		{"no object", `[1]`, "not a JSON object", errListNotObject}, {"no array", `{"hosts":{"host":"a"}}`, "not an array", errEndpointsNotArray},
		{"endless field", `{"new":"` + strings.Repeat("x", 2*maxListBytes), "larger", errTooLarge}} {
		list, err := newListReader(strings.NewReader(c.text)).next()
		if err == nil || !strings.Contains(err.Error(), c.says) || c.is != nil && !errors.Is(err, c.is) || len(list.Endpoints) != 0 {
			t.Errorf("%s: %d hosts, error %v", c.name, len(list.Endpoints), err)
		}
	}
}

// A closed loop's timers end: its gateway is notified of no further timer.
func TestClosedLoopIsNotifiedOfNoTimer(t *testing.T) {
	g := newScriptedHandler(nil)
	l := newLoop(clock{time.Now()}, g, NewBackends(newTestConfig(t)))
	l.post(gateway.Timer{Token: 1})
	if timer := nextEvent[gateway.Timer](t, g); timer.Token != 1 {
		t.Errorf("heard of timer %d", timer.Token)
	}
	l.Close()
	l.post(gateway.Timer{Token: 2})
	if n := len(g.received); n != 0 {
		t.Errorf("heard of %d more", n)
	}
}
