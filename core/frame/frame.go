package frame

import (
	"time"

	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/fault"
)

// Frame is one message on a link: *Run, *Control, *Part, *End or *Beat.
type Frame interface {
	frame()
}

// Verb is the action of a Control.
type Verb string

// The verbs of a Control.
const (
	Cancel   Verb = "cancel" // Cancels the attempt and frees its slot; ignored if the request is non-repeatable.
	Consumed Verb = "more"   // Acknowledges the answer up to Offset, so that the agent may send more.
	Resume   Verb = "resume" // Continues the answer from Offset on this link.
)

// Run starts one attempt of a request at the agent's upstream.
type Run struct {
	ID            string        `cbor:"1,keyasint"`
	Attempt       uint32        `cbor:"2,keyasint"`
	Target        string        `cbor:"3,keyasint"`
	Method        string        `cbor:"4,keyasint"`
	Path          string        `cbor:"5,keyasint"`
	Type          string        `cbor:"6,keyasint,omitempty"` // The content type of Body.
	Body          []byte        `cbor:"7,keyasint,omitempty"`
	Caller        string        `cbor:"8,keyasint"`
	Priority      int           `cbor:"9,keyasint"`
	FirstTimeout  time.Duration `cbor:"10,keyasint"`           // The time left until the first byte of the answer.
	TotalTimeout  time.Duration `cbor:"11,keyasint"`           // The time left until the whole answer.
	NonRepeatable bool          `cbor:"12,keyasint,omitempty"` // The request must run at most once.
	Key           string        `cbor:"13,keyasint,omitempty"` // The idempotency key of a request that must run at most once.
	Minted        time.Time     `cbor:"14,keyasint,omitempty"` // The time at which the key was created.
	Window        int           `cbor:"15,keyasint"`           // Bytes that the agent may send without an acknowledgement.
	PromptTokens  int           `cbor:"16,keyasint,omitempty"` // The estimated length of the prompt.
	OutputTokens  int           `cbor:"17,keyasint,omitempty"` // The estimated length of the output.
	KVHandle      string        `cbor:"18,keyasint,omitempty"` // The handle of a KV cache from which the engine continues.
	Tombstone     bool          `cbor:"19,keyasint,omitempty"` // Sets a tombstone for the key if it is new at the agent, so that the request never runs there.
	StoppedAt     time.Time     `cbor:"20,keyasint,omitzero"`  // When the agent's predecessor began to reject new keys.
	NextStart     time.Time     `cbor:"21,keyasint,omitzero"`  // The start time of the agent that followed the stop; any other agent ignores StoppedAt.
}

// Control is sent by an entry about an attempt that it started before.
type Control struct {
	ID      string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	Verb    Verb   `cbor:"3,keyasint"`
	Offset  int64  `cbor:"4,keyasint,omitempty"` // A position in the answer in bytes.
}

// Part carries bytes of the answer; the first part also carries the upstream's status and content type.
type Part struct {
	ID      string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	Offset  int64  `cbor:"3,keyasint"` // The position of Data in the answer in bytes.
	Data    []byte `cbor:"4,keyasint,omitempty"`
	Status  int    `cbor:"5,keyasint,omitempty"`
	Type    string `cbor:"6,keyasint,omitempty"`
}

// End ends an attempt; an empty Kind means that the answer is complete with Offset bytes.
type End struct {
	ID          string        `cbor:"1,keyasint"`
	Attempt     uint32        `cbor:"2,keyasint"`
	Offset      int64         `cbor:"3,keyasint"`
	Kind        fault.Kind    `cbor:"4,keyasint,omitempty"`
	Text        string        `cbor:"5,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"6,keyasint,omitempty"` // How long the caller should wait before a retry.
	SafeToRetry bool          `cbor:"7,keyasint,omitempty"` // Another attempt is safe and takes nothing from the retry budget; a key has a tombstone at the agent.
	CrashedAt   time.Time     `cbor:"8,keyasint,omitzero"`  // When the upstream crashed under the attempt, the same for all attempts there; zero if it didn't.
	// BrokenAt is when the upstream broke off the attempt and answered no others, though its address accepts connections; zero if it didn't.
	BrokenAt time.Time `cbor:"9,keyasint,omitzero"`
}

// Beat is a heartbeat. Both sides send revisions; the load fields are sent by agents only.
type Beat struct {
	Seq              uint64        `cbor:"1,keyasint"`
	Name             string        `cbor:"2,keyasint"`
	Config           int64         `cbor:"3,keyasint,omitempty"` // The newest known revision of the configuration.
	Epoch            int64         `cbor:"4,keyasint,omitempty"` // The epoch of the plan.
	Plan             int64         `cbor:"5,keyasint,omitempty"` // The revision of the plan within its epoch.
	Running          int           `cbor:"6,keyasint,omitempty"`
	Queued           int           `cbor:"7,keyasint,omitempty"`
	Slots            int           `cbor:"8,keyasint,omitempty"`
	Role             string        `cbor:"10,keyasint,omitempty"`
	Leaving          bool          `cbor:"11,keyasint,omitempty"`
	Version          string        `cbor:"12,keyasint,omitempty"`
	PromptTokens     int64         `cbor:"13,keyasint,omitempty"` // Prompt tokens processed since the start.
	OutputTokens     int64         `cbor:"14,keyasint,omitempty"` // Output tokens generated since the start.
	Backlog          time.Duration `cbor:"15,keyasint,omitempty"` // The time to process the prompts of running and queued requests.
	LowPriority      int           `cbor:"16,keyasint,omitempty"` // Requests with a priority number above 0, running or queued.
	LowPrioritySlots int           `cbor:"17,keyasint,omitempty"` // Slots that requests with a priority number above 0 may use.
	Failing          bool          `cbor:"18,keyasint,omitempty"` // The circuit breaker of the upstream is open.
	Period           time.Duration `cbor:"19,keyasint"`           // The time until the next heartbeat.
	Start            time.Time     `cbor:"21,keyasint,omitzero"`  // The start time of the agent, sent only in its first minute.
	StoppedAt        time.Time     `cbor:"20,keyasint,omitzero"`  // When the stopping process began to reject new keys.
	Blame            *blame.Report `cbor:"22,keyasint,omitempty"` // Crashes of upstreams and the prompts that cause them; nil for none.
	Crashes          *crash.Report `cbor:"23,keyasint,omitempty"` // Requests that were at crashes of upstreams; nil for none.
}

func (*Run) frame()     {}
func (*Control) frame() {}
func (*Part) frame()    {}
func (*End) frame()     {}
func (*Beat) frame()    {}
