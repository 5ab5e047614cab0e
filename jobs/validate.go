package jobs

import "fmt"

// Validate validates the specification and returns an error that names the first invalid field, or nil.
func (s *Spec) Validate() error {
	if len(s.Text) > maxSpecBytes {
		return fmt.Errorf("spec: %d bytes, %d at most", len(s.Text), maxSpecBytes)
	}
	if len(s.Stages) == 0 || len(s.Stages) > maxStages {
		return fmt.Errorf("stages: %d of them, 1 to %d wanted", len(s.Stages), maxStages)
	}
	if s.Repeat < 0 || s.Repeat > maxRepeats || s.IntervalMS < 0 {
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

// check validates the stage, which has the given index in its job.
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
