/** Thrown where a run cannot be carried out as described; its figures are discarded. */
export class InvalidRunError extends Error {
  constructor(reason: string) {
    super(`Invalid run: ${reason}`);
    this.name = "InvalidRunError";
  }
}
