/** Thrown where a run cannot be carried out as described; its figures do not count. */
export class InvalidRunError extends Error {
  constructor(reason: string) {
    super(`The run is not valid: ${reason}`);
    this.name = "InvalidRun";
  }
}
