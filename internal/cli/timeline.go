package cli

import (
	"cuminloft/api"
	"cuminloft/internal/timeline"
)

type timelineCommand struct {
	Request string `help:"Only events of this request."`
	Job     string `help:"Only events of this job."`
	Team    string `help:"Only events of this team."`
	Host    string `help:"Only events of this entry host."`
	AZ      string `name:"az" help:"Only events of this AZ."`
	Limit   int    `default:"1000" help:"The newest events, at most this many."`
	Chrome  bool   `help:"Write the Chrome trace format, which common trace viewers open."`
}

// Help shows examples.
func (timelineCommand) Help() string {
	return `Examples:
  cuminloft timeline --job 6f1c...
  cuminloft timeline --az keller --chrome > keller.json`
}

// Run prints the merged timeline of all entry hosts.
func (c *timelineCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	reply, err := client.Timeline(s.ctx, api.TimelineQuery{
		Request: c.Request,
		Job:     c.Job,
		Team:    c.Team,
		Host:    c.Host,
		AZ:      c.AZ,
		Limit:   c.Limit,
	})
	if err != nil {
		return err
	}
	for _, host := range reply.Missing {
		s.notef("entry host %s did not answer", host)
	}
	if reply.Dropped > 0 {
		s.notef("%d older events are no longer kept", reply.Dropped)
	}
	return timeline.Write(s.stdout, c.format(s), timeline.FromAPI(reply.Events))
}

func (c *timelineCommand) format(s *session) timeline.Format {
	switch {
	case c.Chrome:
		return timeline.FormatChrome
	case s.flags.Output == outputJSON:
		return timeline.FormatJSON
	}
	return timeline.FormatText
}
