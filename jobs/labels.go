package jobs

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Labels are labels that a worker must carry. On the wire it is one text or a list of them.
type Labels []string

// UnmarshalEasyJSON reads a text or a list of texts.
func (l *Labels) UnmarshalEasyJSON(in *jlexer.Lexer) {
	*l = nil
	switch value := in.Interface().(type) {
	case nil:
	case string:
		if value != "" {
			*l = Labels{value}
		}
	case []any:
		for _, one := range value {
			text, ok := one.(string)
			if !ok {
				in.AddError(fmt.Errorf("constraints: %v is no label", one))
				return
			}
			*l = append(*l, text)
		}
	default:
		in.AddError(fmt.Errorf("constraints: %v is no label", value))
	}
}

// MarshalEasyJSON writes the labels as a list.
func (l Labels) MarshalEasyJSON(out *jwriter.Writer) {
	out.RawByte('[')
	for i, label := range l {
		if i > 0 {
			out.RawByte(',')
		}
		out.String(label)
	}
	out.RawByte(']')
}

// Bounds of a job, so that none takes the memory of a scheduler.
const (
	maxText   = 4000
	maxStages = 64
	maxTasks  = 5000
	maxRepeat = 10000
)

// Check returns what makes a job invalid, or nil.
func (s *Spec) Check() error {
	if len(s.Text) > maxText {
		return fmt.Errorf("spec: %d bytes, %d at most", len(s.Text), maxText)
	}
	if len(s.Stages) == 0 || len(s.Stages) > maxStages {
		return fmt.Errorf("stages: %d of them, 1 to %d wanted", len(s.Stages), maxStages)
	}
	if s.Repeat < 0 || s.Repeat > maxRepeat || s.IntervalMS < 0 {
		return fmt.Errorf("repeat: %d times each %d ms", s.Repeat, s.IntervalMS)
	}
	tasks := 0
	for i := range s.Stages {
		if err := s.Stages[i].check(i); err != nil {
			return fmt.Errorf("stages[%d].%w", i, err)
		}
		tasks += s.Stages[i].Count
	}
	if tasks > maxTasks {
		return fmt.Errorf("stages: %d tasks, %d at most", tasks, maxTasks)
	}
	return nil
}

func (s *Stage) check(index int) error {
	switch {
	case s.Count < 1:
		return fmt.Errorf("count: %d is not above 0", s.Count)
	case s.CPU < 0 || s.MemMB < 0 || s.GPU < 0:
		return fmt.Errorf("cpu, mem_mb, gpu: below 0")
	case s.EstimateMS < 0:
		return fmt.Errorf("estimate_ms: below 0")
	}
	for _, earlier := range s.DependsOn {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("depends_on: %d is no earlier step", earlier)
		}
	}
	return nil
}
