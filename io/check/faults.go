package check

// CutMember drops all data in the given directions between the member and the instances, and between the member and its
// replicas.
func (f *Fleet) CutMember(m *Member, instances []*Instance, directions ...Direction) {
	for _, direction := range directions {
		for _, i := range instances {
			i.MemberLinks[m.Target].Cut(direction)
		}
		m.ReplicationLink.Cut(direction)
	}
}

// HealMember restores all links to the member.
func (f *Fleet) HealMember(m *Member) {
	for _, i := range f.Instances {
		i.MemberLinks[m.Target].Heal()
	}
	m.ReplicationLink.Heal()
}

// CutPlatform drops all data between the platform and every instance.
func (f *Fleet) CutPlatform() {
	for _, i := range f.Instances {
		i.PlatformLink.CutBoth()
	}
}

// HealPlatform restores the links to the platform.
func (f *Fleet) HealPlatform() {
	for _, i := range f.Instances {
		i.PlatformLink.Heal()
	}
}

// HealPeers restores the links between the instances.
func (f *Fleet) HealPeers() {
	for _, i := range f.Instances {
		for _, link := range i.PeerLinks {
			link.Heal()
		}
	}
}
