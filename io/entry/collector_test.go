package entry

import (
	"errors"
	"testing"
)

// TestAnswersWithoutEnd guards against upstreams that send without end and use up the memory with hundreds of answers at a time, and
// against ordinary answers that are refused beside them.
func TestAnswersWithoutEnd(t *testing.T) {
	const answers, step = 300, 16 << 10
	sinks := make([]*bufferSink, answers)
	total := 0
	for i := range sinks {
		sinks[i] = &bufferSink{}
		defer sinks[i].drop()
		for {
			if err := sinks[i].write(make([]byte, step)); err != nil {
				if !errors.As(err, new(*tooLargeError)) {
					t.Fatal(err)
				}
				break
			}
		}
		total += len(sinks[i].body)
	}
	if most := maxCollectedBytes + answers*freeBytes; total > most {
		t.Errorf("%d bytes are kept of %d answers, want %d at most", total, answers, most)
	}
	ordinary := &bufferSink{}
	defer ordinary.drop()
	if err := ordinary.write(make([]byte, freeBytes)); err != nil {
		t.Errorf("an ordinary answer beside them: %v", err)
	}
	for _, s := range sinks {
		s.drop()
	}
	if err := ordinary.write(make([]byte, 1<<20)); err != nil {
		t.Errorf("a longer answer after them: %v", err)
	}
}
