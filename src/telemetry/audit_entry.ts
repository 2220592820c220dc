import type { Version } from "../configuration/version.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { AuditEntryKind } from "./audit_entry_kind.ts";

/** One change that a node made or refused to make. Entries are written as JSON lines. */
export interface AuditEntry {
  readonly kind: AuditEntryKind;
  /** When the node recorded the entry, in milliseconds since the Unix epoch. */
  readonly at: number;
  /** The VM that recorded the entry. */
  readonly vm: string;
  /** The version in force before the change; absent where there was none. */
  readonly fromVersion?: Version;
  /** The version that was offered, applied or refused. */
  readonly toVersion?: Version;
  /** Where the change came from: `platform`, the VM of a peer, or `self`. */
  readonly source: string;
  /** What the change concerns where it is not the whole configuration, for example a zone or backend server. */
  readonly subject?: string;
  /** The state before and after, where the entry reports a change of state. */
  readonly fromState?: string;
  readonly toState?: string;
  /** Why a change was refused; empty for changes that were made. */
  readonly reasons: readonly Diagnostic[];
}
