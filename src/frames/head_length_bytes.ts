/** Size of the field before the head of a payload that states the head's length. */
export const headLengthBytes = 4;
