package executor

// Member is the registration of a side.
type Member struct {
	Name     string   `json:"name"`
	Role     string   `json:"role"`
	Centre   string   `json:"centre"`
	Region   string   `json:"region"`
	Addr     string   `json:"addr"`
	Target   string   `json:"target,omitempty"`
	Kind     string   `json:"kind,omitempty"`
	Model    string   `json:"model,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

func (s *Side) member(addr string) Member {
	if s.cfg.Advertise != "" {
		addr = s.cfg.Advertise
	}
	t := s.cfg.Target
	return Member{
		Name: s.instance, Role: "side", Centre: s.cfg.Centre, Region: s.cfg.Region, Addr: addr,
		Target: t.Name, Kind: t.Kind, Model: t.Model, Adapters: t.Adapters,
	}
}
