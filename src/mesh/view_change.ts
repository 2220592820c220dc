import type { ViewChangeKind } from "./view_change_kind.ts";

/** A change of a node's view, for the log. */
export interface ViewChange {
  readonly kind: ViewChangeKind;
  /** The version, zone, backend server or key that changed. */
  readonly subject: string;
  /** Revision of the source that contains the change. */
  readonly revision: number;
  /** Present on a new entry of a backend server: the data that routing uses. */
  readonly service?: string;
  readonly zone?: string;
  readonly host?: string;
  readonly slots?: number;
}
