/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

int main()
{
	return 0;
}
