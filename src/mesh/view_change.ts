import type { ViewChangeKind } from "./view_change_kind.ts";

/** One change of what a node believes, for the log. */
export interface ViewChange {
  readonly kind: ViewChangeKind;
  /** The version, zone, backend server or key concerned. */
  readonly subject: string;
  /** Revision of the source that brought the change. */
  readonly revision: number;
  /** On a new entry of a backend server: what routing goes by. */
  readonly service?: string;
  readonly zone?: string;
  readonly host?: string;
  readonly slots?: number;
}
