package trial

import (
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand/instance"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/settings"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/trial"
)

// runningInstance adapts an instance to [trial.Instance].
type runningInstance struct {
	*instance.Instance
}

// Revision implements [trial.Instance].
func (r runningInstance) Revision() table.Revision {
	return r.TablesRevision()
}

// launcher returns the function with which a trial starts instances.
func launcher(logger zerolog.Logger) trial.Launch {
	return func(site trial.Site) (trial.Instance, error) {
		s := settings.Default()
		s.Region = site.Region
		s.Regions = site.Regions
		s.FailureDomain = site.FailureDomain
		i, err := instance.New(s, instance.Deps{
			Store:     platform.NewStore(site.Store, platform.WithTransport(site.Transport)),
			Members:   platform.NewMemberList(site.Members, platform.WithTransport(site.Transport)),
			Workers:   platform.NewWorkers(platform.WithTransport(site.Transport)),
			Transport: instance.NewTransport(site.Dial),
			Listen:    site.Listen,
			Log:       logger,
		})
		if err != nil {
			return nil, err
		}
		i.Start()
		return runningInstance{i}, nil
	}
}
