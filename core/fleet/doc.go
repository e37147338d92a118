// Package fleet decides which instances are members, which of them owns a database and who watches whom.
package fleet
