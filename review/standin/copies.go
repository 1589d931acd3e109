package main

import "time"

// copiesCommand sends small requests and judges whether each was served with the answer made for it.
func copiesCommand(args []string) error {
	flags, planPath := newFlags("copies")
	length := flags.Duration("length", 60*time.Second, "how long requests are sent")
	rate := flags.Float64("rate", 300, "requests per second and node")
	recordPath := flags.String("record", "", "file to which the result is added")
	if err := flags.Parse(args); err != nil {
		return err
	}
	p, err := readPlan(*planPath)
	if err != nil {
		return err
	}
	l := load{classes: payroll, rate: *rate, length: *length, body: smallBody}
	return judge(l.play(p), *recordPath)
}
