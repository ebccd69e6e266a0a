package gateway

import (
	"math/rand/v2"
	"time"

	"herontiller/internal/budget"
	"herontiller/internal/ranked"
	"herontiller/internal/stats"
)

// What a gateway keeps. The decisions and the settings of the policy are in the policy files.

const partHigh, partLow, partPool = 0, 1, 2 // parts of the slots

type slot struct {
	part          int
	marked, freed bool
}

type class struct {
	Class
	admitted, asked float64    // worth inside quotas, expected, fading
	shadowPrice     float64    // of what is beyond quotas, see affordable
	lat, base       float64    // mean latency of answers, seconds; its slowly forgotten low mark
	first           []*request // sent once, in order; some have ended
}

type backend struct {
	BackendInfo
	rank      uint64        // this door's own order of the backends
	out       int           // this door's attempts out
	slow      float64       // running mean of latency over its class's mean
	owed      float64       // answers owed since the last one, in mean answers
	owedAt    time.Duration // when owed was brought up to now
	holdUntil time.Duration // no sends before: refused or unreachable
	vouched   time.Duration // its last answer vouches for it until then
	coldSince time.Duration // when it started, as far as known
	cold      bool
	tokens    float64 // sends allowed while cold, as of tokensAt
	tokensAt  time.Duration
	badAt     time.Duration // its last bad outcome
	unreached int           // failed connections since the last answer
	strikes   int           // attempts called off since the last answer
}

type attempt struct {
	b      *backend
	slot   *slot
	sent   time.Duration
	open   bool
	told   bool // counted as late while still out
	off    bool // called off, to be made elsewhere
	result Result
}

type request struct {
	id              RequestID
	seq             uint64
	class           *class
	cust            *customer
	units           float64
	due             time.Duration
	awaits          bool // held in its customer's line, not yet sent
	tries           []attempt
	ended, streamed bool
}

// out tells whether an attempt is out; there is never more than one.
func (r *request) out() bool { return len(r.tries) > 0 && r.tries[len(r.tries)-1].open }

type draw struct {
	at  time.Duration
	pct float64 // percent-seconds
}

type customer struct {
	limits
	plan         *Plan
	doors        float64 // front doors that it uses
	seen         time.Duration
	open         int
	store        float64       // s: percent-seconds, as of storeAt
	storeAt      time.Duration // the end of the last period that the meter told of
	pass         float64       // f
	read         time.Duration // when the last reading was counted
	draws        []draw        // this door's own sends since storeAt
	metered, own float64       // use by the meter and by this door's own count, fading
	heard        float64       // seconds that the meter told of, fading
	lastUse      float64       // the value of that reading
	period       float64       // the meter's, seconds
	readings     stats.Weights // likelihood of the readings, where they tell of attempts out
	followedFrom time.Duration // about when the first period began that the meter told of
	units        float64       // of the last request
}

type tier struct {
	arrivals, worth float64 // of this window
	rate, mean      float64 // arrivals a second and mean worth of the last window
}

// Gateway makes the decisions of one front door.
type Gateway struct {
	set        Settings
	classes    map[string]*class
	byClass    []*class // in the order of the settings
	plans      map[string]*Plan
	rng        *rand.Rand
	now, boot  time.Duration
	started    bool
	acts       []Action
	backends   map[BackendID]*backend
	listUntil  time.Duration // end of the lease of the list of backends
	requests   map[RequestID]*request
	bySeq      map[uint64]*request
	seq        uint64
	customers  map[CustomerID]*customer
	usage      map[*Plan]*planUsage
	metered    bool              // the meter ran before this gateway started
	population *stats.Population // the use of the customer of a request, by plan
	price      excessPrice

	order       ranked.List[*backend] // by rank
	away, colds ranked.Bag[*backend]  // not ready; cold, and some that were

	worths []float64 // of the last medianOver arrivals
	median float64

	n                float64    // N; +Inf: unbounded
	size             [3]float64 // n_h, n_l, pool
	used             [3]int
	busy             [3]float64 // used, on average over a small part's window, as of busyAt
	busyAt           time.Duration
	marked           int
	unmarked         []*slot // low ones in the pool not yet marked, oldest first
	tiers            [2]tier // low, high
	splitAt          time.Duration
	meanLat, bestLat float64 // running mean latency of answers, 1/mu; its slowly forgotten low
	ended, bads      float64 // attempts ended, and badly, fading
	aims, flow       float64 // sum of the aims of a second's answers; its mean
	sends, sendRate  float64 // of this second; a second, on average
	ticks            float64 // seconds counted so far
	spare            float64 // attempts that may be called off
}

// limits are this door's parts of a customer's hard limits, and what it has of them.
type limits struct {
	parts        float64 // that the ceiling is split into
	hasCeil      bool    // one of them is this door's
	ceil         float64 // what is left in it, as of ceilAt
	ceilAt       time.Duration
	openPart     int     // attempts that may be out here
	openTime     float64 // where the part is less than one: the time of an attempt out saved up as of openAt, seconds
	openAt       time.Duration
	line         []*request      // held until an attempt out ends; some have ended
	usage        *planUsage      // of the customer's plan
	arrivals     []time.Duration // of its latest requests here
	arrivalsFrom time.Duration   // all since then are there
	admitted     float64         // probability that its last request was admitted with
	refused      *class          // of its last request, where that was refused as too dear, and its units
	refusedSize  float64
	refusedAt    time.Duration
}

// excessPrice is what a gateway keeps of the price of what it admits.
type excessPrice struct {
	shadow   float64
	offers   *budget.Ledger // the latest requests
	requests float64        // fading: all
	rejected float64        // those rejected by their price
	returned float64        // those of clients that were rejected just before
}

// planUsage is what a gateway has learnt of the customers of a plan.
type planUsage struct {
	group          int            // number of the plan in the samples
	use            *stats.Weights // distribution of the use of the customer of a request
	units, squares float64        // mean units of a request, and their mean square
	admitted       float64        // mean probability of admission
}

// meanUse is the mean use of the customer of a request.
func (u *planUsage) meanUse() float64 { return u.use.Mean(usageGrid) }
