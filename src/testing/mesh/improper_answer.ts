/** An answer that HTTP does not define, or that breaks off. */
export interface ImproperAnswer {
  readonly name: string;
  /** Returns the bytes; the parts are those of a proper answer. */
  readonly create: (proper: {
    /** Status and reason. */
    readonly status: string;
    /** Header lines without framing, each with its line end. */
    readonly lines: string;
    readonly body: string;
  }) => string;
  /** Whether only the end of the answer shows the fault. */
  readonly hasProperHead: boolean;
  /** Whether the connection is reset after the bytes; otherwise it ends regularly. */
  readonly isReset: boolean;
}
