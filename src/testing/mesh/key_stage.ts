import type { MeshNode } from "../../mesh/mesh_node.ts";

/** A node that reads a source in virtual time, with rules in which one organisation has a key. */
export interface KeyStage {
  readonly node: MeshNode;
  readonly states: string[];
  /** How long each read of changes asked the source to wait, in milliseconds. */
  readonly watches: readonly number[];
  /** Lets time pass, with all timers. */
  pass(milliseconds: number): Promise<void>;
  /** Stops the process: time passes for both clocks, and no timer fires. */
  pause(milliseconds: number): void;
  /** Moves the time of day only, as a suspension of the VM or a set clock does. */
  moveTimeOfDay(milliseconds: number): void;
  /** Writes a version in which the key has been withdrawn. */
  withdraw(): void;
  setDown(down: boolean): void;
  restoreCopy(): void;
  /** Returns the organisation, or the reason of the refusal. */
  identify(options?: { readonly isPublic: boolean }): string | undefined;
  stop(): void;
}
