package check

// CutMember drops all data in the directions between the member and the instances, and between it and the members that
// follow it.
func (f *Fleet) CutMember(m *Member, instances []*Instance, directions ...Direction) {
	for _, direction := range directions {
		for _, i := range instances {
			i.MemberLinks[m.Target].Cut(direction)
		}
		m.ReplicationLink.Cut(direction)
	}
}

// HealMember restores every path to the member.
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

// HealPlatform restores the paths to the platform.
func (f *Fleet) HealPlatform() {
	for _, i := range f.Instances {
		i.PlatformLink.Heal()
	}
}

// HealPeers restores the paths between the instances.
func (f *Fleet) HealPeers() {
	for _, i := range f.Instances {
		for _, link := range i.PeerLinks {
			link.Heal()
		}
	}
}
