package trace

import (
	"time"
)

var (
	counter  = Class{Name: "counter", Priority: 0, FirstToken: 510 * time.Millisecond, Completion: 3 * time.Second}
	courier  = Class{Name: "courier", Priority: 0, FirstToken: 510 * time.Millisecond, Completion: 2 * time.Second}
	resident = Class{Name: "resident", Priority: 2, FirstToken: 15 * time.Second, Completion: 90 * time.Second}
	staff    = Class{Name: "staff", Priority: 0, FirstToken: 510 * time.Millisecond, Completion: 2 * time.Second}
	planner  = Class{Name: "planner", Priority: 2, FirstToken: 20 * time.Second, Completion: 2 * time.Minute}
)

// Addis returns the workload of the postal redirection service, with 12 engines.
func Addis() Site {
	return Site{Name: "addis", Engines: 12, Streams: []Stream{
		{
			Class: counter, Share: 0.15, Callers: 40, PrefixTokens: 150,
			PrefillHeavyPrompt: Range{200, 500}, PrefillHeavyOutput: Range{10, 30},
			DecodeHeavyPrompt: Range{200, 500}, DecodeHeavyOutput: Range{10, 30},
		},
		{
			Class: courier, Share: 0.10, Callers: 60, PrefixTokens: 100,
			PrefillHeavyPrompt: Range{120, 250}, PrefillHeavyOutput: Range{2, 6},
			DecodeHeavyPrompt: Range{120, 250}, DecodeHeavyOutput: Range{2, 6},
		},
		{
			Class: resident, Share: 0.75, Callers: 200,
			PrefillHeavyPrompt: Range{3000, 8000}, PrefillHeavyOutput: Range{40, 150},
			DecodeHeavyPrompt: Range{200, 800}, DecodeHeavyOutput: Range{300, 900},
		},
	}}
}

// Midtjylland returns the workload of the lighting service, with 9 engines.
func Midtjylland() Site {
	return Site{Name: "midtjylland", Engines: 9, Streams: []Stream{
		{
			Class: staff, Share: 0.20, Callers: 80, PrefixTokens: 100,
			PrefillHeavyPrompt: Range{100, 300}, PrefillHeavyOutput: Range{4, 20},
			DecodeHeavyPrompt: Range{100, 300}, DecodeHeavyOutput: Range{4, 20},
		},
		{
			Class: planner, Share: 0.80, Callers: 30,
			PrefillHeavyPrompt: Range{4000, 9000}, PrefillHeavyOutput: Range{60, 200},
			DecodeHeavyPrompt: Range{300, 900}, DecodeHeavyOutput: Range{600, 1500},
		},
	}}
}
