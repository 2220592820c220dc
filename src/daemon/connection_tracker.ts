import type { Socket } from "node:net";

/** Knows which connections of a listener carry a request. */
export interface ConnectionTracker {
  add(socket: Socket): void;
  /** Notes the beginning of a request; false where the connection was already answered for good. */
  tryBegin(socket: Socket): boolean;
  end(socket: Socket): void;
  /** Answers every idle connection with `answer` for good, and lets its peer close it. */
  finishIdle(answer: string): void;
}
