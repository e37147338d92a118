// Package peers connects the instances of a region: it carries transactions, keeps the membership and spreads documents.
package peers
