package conf

import (
	"fmt"

	"pimentoseam/core/span"
)

// Class is a priority class with its deadlines; lower priority numbers are served first.
type Class struct {
	Name          string    `json:"name"`
	Priority      int       `json:"priority"`
	FirstDeadline span.Span `json:"first"` // Time until the first byte of the answer.
	TotalDeadline span.Span `json:"whole"` // Time until the whole answer.
}

func (c *checker) checkClasses(d *Document) {
	c.names = map[string]bool{}
	for i, class := range d.Classes {
		path := fmt.Sprintf("/classes/%d", i)
		c.checkUniqueName(path, class.Name)
		if class.FirstDeadline <= 0 {
			c.addFault(path+"/first", "must be more than 0s")
		}
		if class.TotalDeadline < class.FirstDeadline {
			c.addFault(path+"/whole", "must be at least as long as first")
		}
	}
}
