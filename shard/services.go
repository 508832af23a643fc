package shard

import "lovagestand.example/lovagestand"

// Services holds the backend services of the routes in a version of the configuration.
type Services struct {
	Version int64
	ByRoute map[lovagestand.RouteName]string
	// MaxConnections holds how many connections the workers of each service accept, where
	// that is known.
	MaxConnections map[string]int
}

// updateService sets the service whose workers run the tasks of a job: that of its route in
// the configuration in force, unless the job was accepted with that version or a later one.
// While that service has no workers, or if the route was removed, it is the one of the
// version with which the job was accepted.
func (s *Shard) updateService(e *jobEntry) {
	accepted := e.progress.Policy()
	service := accepted.Service
	if services, ok := s.services(); ok && services.Version > accepted.Version {
		if current, exists := services.ByRoute[accepted.Route]; exists && (s.hasWorkers(current) || !s.hasWorkers(service)) {
			service = current
		}
	}
	if service == e.service {
		return
	}
	s.log.Info().Str("job", string(e.id)).Str("route", string(e.route)).Str("from", e.service).Str("to", service).Msg("tasks of the job start on another service")
	e.service = service
	for _, st := range e.steps {
		st.causeVersion = 0
	}
}

// services returns the services of the routes in force. It returns false if they are not
// known.
func (s *Shard) services() (Services, bool) {
	if s.deps.Services == nil {
		return Services{}, false
	}
	return s.deps.Services()
}

// hasWorkers reports whether the shard has a worker of a service that is not about to leave.
func (s *Shard) hasWorkers(service string) bool {
	if s.servicesVersion != s.fleetVersion || s.staffed == nil {
		s.staffed, s.servicesVersion = map[string]bool{}, s.fleetVersion
		for _, w := range s.sortedWorkers() {
			s.staffed[w.info.Service] = s.staffed[w.info.Service] || w.info.Ready
		}
	}
	return s.staffed[service]
}
