// Package peers connects the instances of a region: it carries transactions between them, maintains the membership and
// distributes contracts and groups.
package peers
