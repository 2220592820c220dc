import type { Version } from "../configuration/version.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { AuditEntryKind } from "./audit_entry_kind.ts";

/** One change that a node made or refused. Entries are written as JSON lines. */
export interface AuditEntry {
  readonly kind: AuditEntryKind;
  /** When the node recorded the entry, in milliseconds since the Unix epoch. */
  readonly at: number;
  /** The VM that recorded the entry. */
  readonly vm: string;
  /** The version in force before the change; absent if there was none. */
  readonly fromVersion?: Version;
  /** The version that was received, applied or refused. */
  readonly toVersion?: Version;
  /** Origin of the change: `platform`, the VM of a peer, or `self`. */
  readonly source: string;
  /** The changed object, for example a zone or backend server; absent for the whole configuration. */
  readonly subject?: string;
  /** The state before the change, if the entry reports a change of state. */
  readonly fromState?: string;
  /** The state after the change, if the entry reports a change of state. */
  readonly toState?: string;
  /** Why the change was refused; empty for changes that were made. */
  readonly reasons: readonly Diagnostic[];
}
